"""Test fuchsiahaven.edge."""
