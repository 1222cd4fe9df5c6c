"""The agent beside an upstream."""
