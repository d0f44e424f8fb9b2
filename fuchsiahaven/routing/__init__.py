"""Decide where each request of a caller goes, without input or output."""
