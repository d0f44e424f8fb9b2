"""Hold what builds and checks the project."""
