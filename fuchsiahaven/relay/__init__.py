"""Carry requests between callers and targets, and state between hosts."""
