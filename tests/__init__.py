"""Test the project; the folders mirror those of the package."""
