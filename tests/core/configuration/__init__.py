"""Tests of the package configuration of the core."""
