"""The entry and sidecar processes of magnoliawood."""
