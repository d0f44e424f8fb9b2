"""Benchmarks, simulations and a demonstration of the whole request path."""
