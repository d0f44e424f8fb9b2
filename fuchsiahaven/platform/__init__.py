"""Translate the platform's names, formats and calls; hold no decisions."""
