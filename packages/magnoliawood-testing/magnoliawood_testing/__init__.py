"""Stand-ins, fault-injecting proxy, test clusters and load tools."""
