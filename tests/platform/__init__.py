"""Test `fuchsiahaven.platform`."""
