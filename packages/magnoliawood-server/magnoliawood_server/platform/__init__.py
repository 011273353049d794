"""Everything that speaks to the platform: names, formats and calls.

Nothing here decides anything, and no other package knows these names.
"""
