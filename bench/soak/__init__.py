"""Run real hosts as processes, break things around them, check promises."""
