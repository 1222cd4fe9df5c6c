"""The entry: from callers to agents."""
