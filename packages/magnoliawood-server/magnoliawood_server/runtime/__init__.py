"""What all roles share: settings, logs, listeners and answers."""
