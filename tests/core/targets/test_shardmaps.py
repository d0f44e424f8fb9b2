"""Test the snapshots of a group with any order of reports."""

import collections
import itertools

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiahaven.core.targets import shardmaps, snapshots

TARGETS = tuple('abcdef')
USABLE = frozenset('abcd')
#: Bounds of shards; some ranges between them are consistent and some not.
EDGES = (0, 20000, 30000, 65536)


#: Holdings, some of which contradict each other.
REPORTS = [
    snapshots.Holding(number, shard, shards, low, high)
    for number, (shard, shards), (low, high) in itertools.product(
        (1, 2),
        ((0, 1), (0, 2), (1, 2), (0, 3), (1, 3), (2, 3)),
        itertools.combinations(EDGES, 2),
    )
]


class ReportModel(RuleBasedStateMachine):
    """Let targets report holdings, replace them and be removed."""

    def __init__(self) -> None:
        super().__init__()
        self.group_snapshots = snapshots.GroupSnapshots('web')
        self.reported: dict[str, set[snapshots.Holding]] = {}

    @rule(
        name=strategies.sampled_from(TARGETS),
        holdings=strategies.sets(strategies.sampled_from(REPORTS), max_size=3),
    )
    def report(self, name: str, holdings: set[snapshots.Holding]) -> None:
        self.reported[name] = holdings
        self.group_snapshots = snapshots.update_holdings(
            self.group_snapshots, name, tuple(holdings)
        )

    @rule(
        name=strategies.sampled_from(TARGETS),
        shards=strategies.integers(1, 3),
    )
    def report_consistent(self, name: str, shards: int) -> None:
        edges = (0, *EDGES[1:shards], 65536)
        ranges = itertools.pairwise(edges)
        holdings = {
            snapshots.Holding(1, shard, shards, low, high)
            for shard, (low, high) in enumerate(ranges)
        }
        self.report(name, holdings)

    @rule(name=strategies.sampled_from(TARGETS))
    def remove_target(self, name: str) -> None:
        self.reported.pop(name, None)
        self.group_snapshots = snapshots.remove_target(
            self.group_snapshots, name
        )

    @rule(
        name=strategies.sampled_from(TARGETS),
        number=strategies.integers(1, 2),
    )
    def discard_snapshot(self, name: str, number: int) -> None:
        holdings = self.reported.get(name, set())
        self.reported[name] = {
            holding for holding in holdings if holding.snapshot != number
        }
        self.group_snapshots = snapshots.discard_snapshot(
            self.group_snapshots, name, number
        )

    @invariant()
    def each_report_is_used_or_refused(self) -> None:
        holdings = set(self.list_reported())
        refused = {
            (fault.target, fault.holding)
            for fault in snapshots.list_faults(self.group_snapshots)
        }
        assert refused <= holdings
        maps = {
            shard_map.snapshot: shard_map
            for shard_map in self.group_snapshots.maps
        }
        used = [0, 0]
        for name, holding in holdings - refused:
            shard_map = maps[holding.snapshot]
            used[holding.snapshot - 1] += 1
            assert len(shard_map.ranges) == holding.shards
            assert shard_map.ranges[holding.shard] == (
                holding.low,
                holding.high,
            )
            assert name in shard_map.replicas[holding.shard]
        for number, shard_map in maps.items():
            assert sum(map(len, shard_map.replicas)) == used[number - 1]

    @invariant()
    def ranges_cover_each_position_once(self) -> None:
        for pinned in snapshots.list_pins(self.group_snapshots, USABLE):
            bounds = [(shard.low, shard.high) for shard in pinned.shards]
            assert bounds[0][0] == 0
            assert bounds[-1][1] == shardmaps.KEY_SPACE_SIZE
            assert all(low < high for low, high in bounds)
            for before, after in itertools.pairwise(bounds):
                assert before[1] == after[0]

    @invariant()
    def shard_count_has_a_majority(self) -> None:
        for shard_map in self.group_snapshots.maps:
            voters = {
                (holding.shards, name)
                for name, holding in self.list_reported()
                if holding.snapshot == shard_map.snapshot
            }
            votes = collections.Counter(shards for shards, _ in voters)
            assert votes[len(shard_map.ranges)] == max(votes.values())

    def list_reported(self) -> list[tuple[str, snapshots.Holding]]:
        """List the last reported holdings of each target."""
        return [
            (name, holding)
            for name, holdings in self.reported.items()
            for holding in holdings
        ]


TestReportModel = ReportModel.TestCase
TestReportModel.settings = settings(max_examples=150, stateful_step_count=12)
