"""Staged roll-outs of versions."""
