"""Random faults on the whole path, checked from callers and upstreams."""
