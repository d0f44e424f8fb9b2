"""Test the project; the folders mirror the package."""
