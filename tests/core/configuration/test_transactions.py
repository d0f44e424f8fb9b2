"""Test concurrent changes with lost, delayed and failed calls."""

import contextlib
from typing import Any
from unittest import mock

from hypothesis import settings, stateful
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    changes,
    configurations,
    manifests,
    parts,
    proposals,
    store_calls,
    store_reads,
    transactions,
    trees,
)
from tests.core import model_store

GROUPS = ('g0', 'g1')
KEYS = ('tier', 'zone')
TARGETS = ('a/1', 'a/2', 'b/1')
MANIFEST = manifests.MANIFEST_KEY
OPERATOR = st.integers(0, 2)


def make_target(group: str, name: str) -> configurations.Target:
    number = TARGETS.index(name) + 10 * GROUPS.index(group)
    return configurations.Target(
        f'{group}/{name}', f'10.0.0.1:{number + 1}', f'DC{name[0]}'
    )


def draw_change() -> st.SearchStrategy[changes.Change]:
    """Draw changes of a few fields, so that they often conflict."""
    group = st.sampled_from(GROUPS)
    key, value = st.sampled_from(KEYS), st.sampled_from('xyz')
    name = st.sampled_from(TARGETS)
    named = st.tuples(group, name).map(lambda pair: make_target(*pair))
    return st.one_of(
        group.map(
            lambda g: changes.CreateGroup(configurations.Group(g, (), ()))
        ),
        st.builds(
            lambda g, k, w: changes.LabelGroup(g, ((k, w),)), group, key, value
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
    """Let three operators change one configuration over a faulty network.

    Checked: no accepted change is lost, none is applied twice, revisions only
    grow, each accepted change has exactly one audit entry, a refused change
    has none, no change overwrites a field that its operator had not seen
    changed, and a manifest never names a missing part.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = model_store.ModelStore()
        self.running: dict[int, tuple[Any, Any, str]] = {}
        self.outcomes: dict[str, object] = {}
        self.base_revisions: dict[str, int] = {}
        self.revision = 0
        self.patches = contextlib.ExitStack()
        # With small bounds a few changes suffice to archive entries and to
        # store parts under keys of their own.
        for module, bound in (
            (proposals, 'MAX_KEPT_ENTRIES'),
            (parts, 'MAX_INLINE_BYTES'),
        ):
            self.patches.enter_context(mock.patch.object(module, bound, 2))

    @stateful.initialize()
    def create_groups(self) -> None:
        """Create groups with targets, so that most changes can be applied."""
        for group in GROUPS:
            targets = tuple(make_target(group, name) for name in TARGETS)
            created = configurations.Group(group, (), targets)
            self.start(0, changes.CreateGroup(created))
            self.finish(0)

    @stateful.rule(operator=OPERATOR, change=draw_change())
    def begin(self, operator: int, change: changes.Change) -> None:
        self.start(operator, change)

    @stateful.rule(operator=OPERATOR, steps_back=st.integers(0, 9))
    def undo(self, operator: int, steps_back: int) -> None:
        entries = self.read_entries()
        if entries:
            entry = entries[-1 - steps_back % len(entries)]
            self.start(
                operator, changes.UndoChange(entry.change_id, entry.edits)
            )

    @stateful.rule(operator=OPERATOR, calls=st.integers(1, 12))
    def step(self, operator: int, calls: int) -> None:
        for _ in range(calls):
            self.advance(operator, model_store.CallOutcome.DONE)

    @stateful.rule(
        operator=OPERATOR,
        fate=st.sampled_from(model_store.CallOutcome),
        key=st.sampled_from(('audit/', parts.KEY_PREFIX, MANIFEST)),
    )
    def disturb(
        self, operator: int, fate: model_store.CallOutcome, key: str
    ) -> None:
        while operator in self.running and not self.is_writing(operator, key):
            self.advance(operator, model_store.CallOutcome.DONE)
        self.advance(operator, fate)

    @stateful.rule(operator=OPERATOR)
    def finish(self, operator: int) -> None:
        while operator in self.running:
            self.advance(operator, model_store.CallOutcome.DONE)

    @stateful.precondition(has_delayed)
    @stateful.rule(operator=OPERATOR)
    def fail_call(self, operator: int) -> None:
        self.advance(operator, model_store.CallOutcome.FAILED)

    @stateful.rule(index=st.integers(0, 5))
    def deliver_delayed(self, index: int) -> None:
        if self.store.delayed:
            self.store.apply_delayed(index % len(self.store.delayed))

    @stateful.invariant()
    def the_stored_configuration_is_whole_and_never_older(self) -> None:
        revision = self.load().manifest.configuration.revision
        assert revision >= self.revision
        self.revision = revision

    def teardown(self) -> None:
        with self.patches:
            for operator in list(self.running):
                self.finish(operator)
            while self.store.delayed:
                self.store.apply_delayed(0)
            self.check_audit_log()

    def check_audit_log(self) -> None:
        entries = self.read_entries()
        ids = [entry.change_id for entry in entries]
        assert len(ids) == len(set(ids))
        numbers = range(1, len(ids) + 1)
        assert [entry.revision for entry in entries] == list(numbers)
        for change_id, outcome in self.outcomes.items():
            if isinstance(outcome, proposals.ChangeAccepted):
                assert outcome.entry in entries
            elif not is_unknown(outcome):
                assert change_id not in ids
        self.check_edits(entries)

    def check_edits(self, entries: list[audit_log.Entry]) -> None:
        tree = trees.build_tree(configurations.EMPTY)
        for entry in entries:
            base_revision = self.base_revisions[entry.change_id]
            fields = [edit.field for edit in entry.edits]
            between = entries[base_revision : entry.revision - 1]
            assert audit_log.find_latest_overlap(between, fields) is None
            for edit in entry.edits:
                assert trees.find_field(tree, edit.field) == edit.before
                tree = trees.set_field(tree, edit.field, edit.after)
        stored = self.load().manifest.configuration
        assert trees.build_configuration(tree, len(entries)) == stored

    def start(self, operator: int, change: changes.Change) -> None:
        if operator in self.running:
            return
        change_id = f'id-{len(self.outcomes)}'
        self.outcomes[change_id] = None
        self.base_revisions[change_id] = self.revision
        request = proposals.ChangeRequest(
            change_id, f'op{operator}', change, self.revision, force=True
        )
        steps = transactions.commit(request, 0)
        self.running[operator] = (steps, next(steps), change_id)

    def advance(self, operator: int, fate: model_store.CallOutcome) -> None:
        if operator not in self.running:
            return
        steps, call, change_id = self.running.pop(operator)
        try:
            call = steps.send(self.store.call(call, fate))
        except StopIteration as stop:
            self.outcomes[change_id] = stop.value
            return
        self.running[operator] = (steps, call, change_id)

    def is_writing(self, operator: int, key: str) -> bool:
        call = self.running[operator][1]
        return isinstance(
            call, store_calls.CompareAndSwap
        ) and call.key.startswith(key)

    def load(self) -> store_reads.LoadedManifest:
        loaded = self.store.run_steps(store_reads.load_manifest())
        assert isinstance(loaded, store_reads.LoadedManifest)
        return loaded

    def read_entries(self) -> list[audit_log.Entry]:
        manifest = self.load().manifest
        older = self.store.run_steps(
            store_reads.read_archived_entries(manifest.entries, 0)
        )
        assert isinstance(older, tuple)
        return [*older, *manifest.entries]


def is_unknown(outcome: object) -> bool:
    return (
        isinstance(outcome, errors.Failure)
        and outcome.kind is errors.Kind.OUTCOME_UNKNOWN
    )


TestOperators = Operators.TestCase
TestOperators.settings = settings(max_examples=100, stateful_step_count=50)
