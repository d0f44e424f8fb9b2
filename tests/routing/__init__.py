"""Test `fuchsiahaven.routing`."""
