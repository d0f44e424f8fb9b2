"""Test `fuchsiahaven.relay`."""
