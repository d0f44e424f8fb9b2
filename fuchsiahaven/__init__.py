"""Answer searches over many shards, and report each shard not covered."""

from typing import Final

__version__: Final = '0.1.0'
