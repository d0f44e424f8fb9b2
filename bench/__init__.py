"""Measure, and show the whole path."""
