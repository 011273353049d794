"""Code shared by all roles: settings, logs, listeners and responses."""
