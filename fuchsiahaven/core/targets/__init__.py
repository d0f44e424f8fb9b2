"""Know the targets: what they hold, how they do, what they may be sent."""
