"""Tests of the package queries of the core."""
