"""Choice of upstream."""
