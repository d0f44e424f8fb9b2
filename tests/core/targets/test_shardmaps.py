"""Check the known snapshots against what targets report, in any order."""

import collections
import itertools

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fuchsiahaven.core.targets import shardmaps, snapshots

TARGETS = tuple('abcdef')
USABLE = frozenset('abcd')
#: Edges of shards that agree now and then and contradict now and then.
EDGES = (0, 20000, 30000, 65536)


#: Holdings, some of which cannot be true together.
REPORTS = [
    snapshots.Holding(number, shard, shards, low, high)
    for number, (shard, shards), (low, high) in itertools.product(
        (1, 2),
        ((0, 1), (0, 2), (1, 2), (0, 3), (1, 3), (2, 3)),
        itertools.combinations(EDGES, 2),
    )
]


class Reports(RuleBasedStateMachine):
    """Let targets report, change their minds and go."""

    def __init__(self) -> None:
        super().__init__()
        self.known = snapshots.Known('web')
        self.told: dict[str, set[snapshots.Holding]] = {}

    @rule(
        name=strategies.sampled_from(TARGETS),
        told=strategies.sets(strategies.sampled_from(REPORTS), max_size=3),
    )
    def learn(self, name: str, told: set[snapshots.Holding]) -> None:
        self.told[name] = told
        self.known = snapshots.learn(self.known, name, tuple(told))

    @rule(
        name=strategies.sampled_from(TARGETS),
        shards=strategies.integers(1, 3),
    )
    def learn_true(self, name: str, shards: int) -> None:
        edges = (0, *EDGES[1:shards], 65536)
        ranges = itertools.pairwise(edges)
        told = {
            snapshots.Holding(1, shard, shards, low, high)
            for shard, (low, high) in enumerate(ranges)
        }
        self.learn(name, told)

    @rule(name=strategies.sampled_from(TARGETS))
    def forget(self, name: str) -> None:
        self.told.pop(name, None)
        self.known = snapshots.forget(self.known, name)

    @rule(
        name=strategies.sampled_from(TARGETS),
        number=strategies.integers(1, 2),
    )
    def drop(self, name: str, number: int) -> None:
        told = self.told.get(name, set())
        self.told[name] = {held for held in told if held.snapshot != number}
        self.known = snapshots.drop(self.known, name, number)

    @invariant()
    def each_report_is_used_or_refused(self) -> None:
        told = set(self.list_told())
        refused = {
            (fault.target, fault.holding)
            for fault in snapshots.list_faults(self.known)
        }
        assert refused <= told
        maps = {made.snapshot: made for made in self.known.maps}
        used = [0, 0]
        for name, held in told - refused:
            made = maps[held.snapshot]
            used[held.snapshot - 1] += 1
            assert len(made.ranges) == held.shards
            assert made.ranges[held.shard] == (held.low, held.high)
            assert name in made.replicas[held.shard]
        for number, made in maps.items():
            assert sum(map(len, made.replicas)) == used[number - 1]

    @invariant()
    def ranges_cover_each_position_once(self) -> None:
        for pinned in snapshots.list_pins(self.known, USABLE):
            bounds = [(shard.low, shard.high) for shard in pinned.shards]
            assert bounds[0][0] == 0
            assert bounds[-1][1] == shardmaps.POSITIONS
            assert all(low < high for low, high in bounds)
            for before, after in itertools.pairwise(bounds):
                assert before[1] == after[0]

    @invariant()
    def no_minority_decides(self) -> None:
        for made in self.known.maps:
            voters = {
                (held.shards, name)
                for name, held in self.list_told()
                if held.snapshot == made.snapshot
            }
            votes = collections.Counter(shards for shards, _ in voters)
            assert votes[len(made.ranges)] == max(votes.values())

    def list_told(self) -> list[tuple[str, snapshots.Holding]]:
        """List what each target told last."""
        return [
            (name, held)
            for name, holdings in self.told.items()
            for held in holdings
        ]


TestReports = Reports.TestCase
TestReports.settings = settings(max_examples=150, stateful_step_count=12)
