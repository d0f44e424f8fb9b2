"""Pure decision logic, without sockets, files, clocks, threads, randomness."""
