"""Track the targets: their holdings, their state and their limits."""
