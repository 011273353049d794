"""Order of the calls at an upstream and routing of calls to upstreams.

Gateways use some of the modules without the others, whose requirements are
not installed there; so this package imports none.
"""
