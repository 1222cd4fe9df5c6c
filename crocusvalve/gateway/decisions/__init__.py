"""Decisions of the gateway, without I/O; the present time is an argument."""
