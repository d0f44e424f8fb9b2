"""Test changes under races, lost answers and older copies."""

import contextlib
from typing import Any
from unittest import mock

from hypothesis import settings, stateful
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audits,
    changes,
    configurations,
    manifests,
    parts,
    proposals,
    readings,
    store_calls,
    transactions,
    trees,
)
from tests.core import model_store

GROUPS = ('g0', 'g1')
KEYS = ('tier', 'zone')
TARGETS = ('a/1', 'a/2', 'b/1')
MANIFEST = manifests.MANIFEST_KEY
WHO = st.integers(0, 2)


def make_target(group: str, name: str) -> configurations.Target:
    number = TARGETS.index(name) + 10 * GROUPS.index(group)
    return configurations.Target(
        f'{group}/{name}', f'10.0.0.1:{number + 1}', f'DC{name[0]}'
    )


def draw_change() -> st.SearchStrategy[changes.Change]:
    """Draw changes that touch few fields, so that they meet."""
    group = st.sampled_from(GROUPS)
    key, word = st.sampled_from(KEYS), st.sampled_from('xyz')
    name = st.sampled_from(TARGETS)
    named = st.tuples(group, name).map(lambda pair: make_target(*pair))
    return st.one_of(
        group.map(
            lambda g: changes.CreateGroup(configurations.Group(g, (), ()))
        ),
        st.builds(
            lambda g, k, w: changes.LabelGroup(g, ((k, w),)), group, key, word
        ),
        named.map(lambda t: changes.AddTargets(t.name[:2], (t,))),
        named.map(lambda t: changes.RemoveTargets(t.name[:2], (t.name,))),
        named.map(lambda t: changes.MarkLeaving(t.name[:2], (t.name,))),
        group.map(changes.DeleteGroup),
        st.integers(1, 3).map(
            lambda n: changes.SetClass('c', (('deadline_ms', n),))
        ),
    )


def has_delayed(machine: 'Operators') -> bool:
    return bool(machine.store.delayed)


class Operators(stateful.RuleBasedStateMachine):
    """Let three operators change one configuration over a bad network.

    Claimed: no accepted change is lost, none is applied twice, revisions only
    grow, each accepted change has exactly one audit entry, a refused change
    has none, no change overwrites a field that its operator had not seen
    changed, and a manifest never names a part that is gone.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = model_store.ModelStore()
        self.running: dict[int, tuple[Any, Any, str]] = {}
        self.told: dict[str, object] = {}
        self.bases: dict[str, int] = {}
        self.revision = 0
        self.patches = contextlib.ExitStack()
        # Small bounds, so that a few changes archive entries and move parts.
        for module, bound in (
            (proposals, 'KEPT_CHANGES'),
            (parts, 'INLINE_BYTES'),
        ):
            self.patches.enter_context(mock.patch.object(module, bound, 2))

    @stateful.initialize()
    def fill(self) -> None:
        """Begin with groups that have targets, so that changes apply."""
        for group in GROUPS:
            targets = tuple(make_target(group, name) for name in TARGETS)
            made = configurations.Group(group, (), targets)
            self.start(0, changes.CreateGroup(made))
            self.finish(0)

    @stateful.rule(who=WHO, change=draw_change())
    def begin(self, who: int, change: changes.Change) -> None:
        self.start(who, change)

    @stateful.rule(who=WHO, back=st.integers(0, 9))
    def undo(self, who: int, back: int) -> None:
        entries = self.read_entries()
        if entries:
            entry = entries[-1 - back % len(entries)]
            self.start(who, changes.Restore(entry.change_id, entry.edits))

    @stateful.rule(who=WHO, calls=st.integers(1, 12))
    def step(self, who: int, calls: int) -> None:
        for _ in range(calls):
            self.advance(who, model_store.Fate.DONE)

    @stateful.rule(
        who=WHO,
        fate=st.sampled_from(model_store.Fate),
        key=st.sampled_from(('audit/', parts.PREFIX, MANIFEST)),
    )
    def disturb(self, who: int, fate: model_store.Fate, key: str) -> None:
        while who in self.running and not self.is_writing(who, key):
            self.advance(who, model_store.Fate.DONE)
        self.advance(who, fate)

    @stateful.rule(who=WHO)
    def finish(self, who: int) -> None:
        while who in self.running:
            self.advance(who, model_store.Fate.DONE)

    @stateful.precondition(has_delayed)
    @stateful.rule(who=WHO)
    def cut(self, who: int) -> None:
        self.advance(who, model_store.Fate.FAILED)

    @stateful.rule(index=st.integers(0, 5))
    def land(self, index: int) -> None:
        if self.store.delayed:
            self.store.land(index % len(self.store.delayed))

    @stateful.invariant()
    def the_stored_configuration_is_whole_and_never_older(self) -> None:
        revision = self.load().manifest.configuration.revision
        assert revision >= self.revision
        self.revision = revision

    def teardown(self) -> None:
        with self.patches:
            for who in list(self.running):
                self.finish(who)
            while self.store.delayed:
                self.store.land(0)
            self.check_trail()

    def check_trail(self) -> None:
        entries = self.read_entries()
        ids = [entry.change_id for entry in entries]
        assert len(ids) == len(set(ids))
        numbers = range(1, len(ids) + 1)
        assert [entry.revision for entry in entries] == list(numbers)
        for change_id, told in self.told.items():
            if isinstance(told, proposals.Accepted):
                assert told.entry in entries
            elif not is_unknown(told):
                assert change_id not in ids
        self.check_edits(entries)

    def check_edits(self, entries: list[audits.Entry]) -> None:
        tree = trees.build_tree(configurations.EMPTY)
        for entry in entries:
            seen = self.bases[entry.change_id]
            fields = [edit.field for edit in entry.edits]
            between = entries[seen : entry.revision - 1]
            assert audits.find_latest(between, fields) is None
            for edit in entry.edits:
                assert trees.read_field(tree, edit.field) == edit.before
                tree = trees.write_field(tree, edit.field, edit.after)
        stored = self.load().manifest.configuration
        assert trees.build_configuration(tree, len(entries)) == stored

    def start(self, who: int, change: changes.Change) -> None:
        if who in self.running:
            return
        change_id = f'id-{len(self.told)}'
        self.told[change_id] = None
        self.bases[change_id] = self.revision
        request = proposals.Request(
            change_id, f'op{who}', change, self.revision, force=True
        )
        steps = transactions.commit(request, 0)
        self.running[who] = (steps, next(steps), change_id)

    def advance(self, who: int, fate: model_store.Fate) -> None:
        if who not in self.running:
            return
        steps, call, change_id = self.running.pop(who)
        try:
            call = steps.send(self.store.call(call, fate))
        except StopIteration as stop:
            self.told[change_id] = stop.value
            return
        self.running[who] = (steps, call, change_id)

    def is_writing(self, who: int, key: str) -> bool:
        call = self.running[who][1]
        return isinstance(call, store_calls.Swap) and call.key.startswith(key)

    def load(self) -> readings.Loaded:
        loaded = self.store.finish(readings.load())
        assert isinstance(loaded, readings.Loaded)
        return loaded

    def read_entries(self) -> list[audits.Entry]:
        manifest = self.load().manifest
        older = self.store.finish(readings.read_archived(manifest.changes, 0))
        assert isinstance(older, tuple)
        return [*older, *manifest.changes]


def is_unknown(told: object) -> bool:
    return (
        isinstance(told, errors.Failure)
        and told.kind is errors.Kind.OUTCOME_UNKNOWN
    )


TestOperators = Operators.TestCase
TestOperators.settings = settings(max_examples=100, stateful_step_count=50)
