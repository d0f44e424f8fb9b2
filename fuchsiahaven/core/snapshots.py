"""Hold which searcher holds which shard of which snapshot."""

from typing import NamedTuple


class Holding(NamedTuple):
    """Say that a target holds one shard of one snapshot of its group.

    Keys hash into 0..65535; the shard covers `low <= position < high`. The
    shard count and the ranges belong to the snapshot, so a repartition is a
    new snapshot. Snapshot numbers of a group only grow.
    """

    snapshot: int
    shard: int
    shards: int
    low: int
    high: int
