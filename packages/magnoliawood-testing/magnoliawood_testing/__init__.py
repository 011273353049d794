"""Stand-ins, proxy, cluster and load tool for development."""
