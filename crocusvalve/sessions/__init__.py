"""Session tokens."""
