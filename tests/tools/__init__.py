"""Test the tools that build and check the project."""
