"""Touch the world: callers, targets, the platform, peers and time."""
