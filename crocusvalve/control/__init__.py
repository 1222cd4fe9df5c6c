"""Leases, controller and distribution of the configuration."""
