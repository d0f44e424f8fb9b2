"""Identify customers by their keys, and track how recent the keys are."""
