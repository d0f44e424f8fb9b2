"""Tests of the package customers of the core."""
