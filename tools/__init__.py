"""Build and check the project."""
