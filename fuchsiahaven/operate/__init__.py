"""Serve the operators: command line, settings, logs and metrics."""
