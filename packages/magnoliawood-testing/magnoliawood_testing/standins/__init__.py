"""Stand-ins for the systems that magnoliawood communicates with."""
