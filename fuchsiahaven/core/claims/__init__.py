"""Let a request that must not be repeated run once at most."""
