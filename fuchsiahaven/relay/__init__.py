"""Carry requests between callers and targets, and news between hosts."""
