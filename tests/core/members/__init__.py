"""Tests of the package members of the core."""
