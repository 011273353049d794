"""Small stand-ins for the systems that magnoliawood works with."""
