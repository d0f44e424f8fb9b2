"""Provide the operators' interfaces: commands, settings, logs and metrics."""
