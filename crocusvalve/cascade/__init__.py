"""Cascades from cheap to costly models."""
