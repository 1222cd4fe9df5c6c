"""Client of the platform's service."""
