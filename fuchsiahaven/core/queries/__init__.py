"""Handle each query from its arrival to its one reply."""
