"""Test the package `fuchsiahaven.core.claims`."""
