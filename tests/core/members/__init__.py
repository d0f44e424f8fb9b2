"""Test the package `fuchsiahaven.core.members`."""
