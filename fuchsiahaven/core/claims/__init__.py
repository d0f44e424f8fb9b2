"""Ensure that an at-most-once request runs at most once."""
