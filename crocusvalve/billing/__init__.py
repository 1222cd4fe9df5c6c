"""Bills, one a request."""
