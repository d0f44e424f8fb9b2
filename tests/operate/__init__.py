"""Test fuchsiahaven.operate."""
