"""Decide: no sockets, files, clocks, threads or randomness in here."""
