"""Decide where each request of a caller is sent, without input or output."""
