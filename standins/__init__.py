"""Replace the platform and the targets in tests, the bench and the demo."""
