"""Test the bench."""
