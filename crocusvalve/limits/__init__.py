"""Quotas, queues and warm-up limits."""
