"""Test the stand-ins."""
