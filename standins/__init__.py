"""Stand in for the platform and the targets, for tests, bench and demo."""
