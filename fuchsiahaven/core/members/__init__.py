"""Track which hosts of a data centre take part, and gossip with them."""
