"""Soak test: real hosts as processes under injected faults."""
