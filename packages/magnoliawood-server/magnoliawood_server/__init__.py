"""Server processes of magnoliawood."""
