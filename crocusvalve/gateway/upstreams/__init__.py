"""Attempts at upstreams: connections, replies, and what their outcomes say about an upstream."""
