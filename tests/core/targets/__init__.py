"""Tests of the package `targets` of the core."""
