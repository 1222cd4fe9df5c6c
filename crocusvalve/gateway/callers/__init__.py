"""Connections of callers and of the load balancer: listening, reading requests, writing answers."""
