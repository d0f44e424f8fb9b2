"""Translate names, formats and calls of the users' platform; decide nothing."""
