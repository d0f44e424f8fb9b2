"""Tests of the package claims of the core."""
