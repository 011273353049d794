"""Core logic and state of the magnoliawood scheduler, without network I/O."""
