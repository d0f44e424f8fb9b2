"""Test fuchsiahaven.core."""
