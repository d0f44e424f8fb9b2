"""Decide what becomes of each query, from its arrival to its one answer."""
