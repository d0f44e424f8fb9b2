"""Test what builds and checks the project."""
