"""Live and leaving nodes."""
