"""Answer searches over many shards, completely or honestly partially."""

from typing import Final

__version__: Final = '0.1.0'
