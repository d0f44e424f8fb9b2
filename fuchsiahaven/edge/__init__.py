"""Adapters to callers, targets, the platform and peers, and their tasks."""
