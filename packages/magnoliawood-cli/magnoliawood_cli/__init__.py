"""Command line for operators, ``magnoliactl``."""
