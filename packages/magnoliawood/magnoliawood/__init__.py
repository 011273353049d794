"""Decisions and state of the magnoliawood scheduler, free of sockets."""
