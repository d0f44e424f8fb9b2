"""Drive the dispatch of one host without sockets or clocks."""

from fuchsiahaven.core import policies
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import dispatch, hedges, states, tables
from fuchsiahaven.core.targets import messages, snapshots

DATA_CENTRE = 'Quilicura'
LIVE = messages.TargetState.LIVE
LOAD = messages.Load(0, 0, 2)


class Rig:
    """Hold one host, its time, and the actions it has requested."""

    def __init__(
        self,
        request_class: configurations.RequestClass,
        shards: int = 3,
        replicas: int = 2,
        policy: policies.Policy = policies.STANDARD,
        other_classes: tuple[configurations.RequestClass, ...] = (),
    ) -> None:
        """Configure one group and let all its targets report snapshot 1."""
        self.now = 100.0
        self.shards = shards
        self.actions: list[messages.Action] = []
        self.target_names = {
            (shard, replica): f'web-{shard}/{replica}'
            for shard in range(shards)
            for replica in range(replicas)
        }
        targets = tuple(
            configurations.Target(name, f'10.0.0.{number}:1', DATA_CENTRE)
            for number, name in enumerate(self.target_names.values())
        )
        group = configurations.Group('web', (('kind', 'web'),), targets)
        classes = (request_class, *other_classes)
        self._state = states.make_state(DATA_CENTRE, float, policy)
        self.configuration = configurations.Configuration(
            1,
            (group,),
            tuple(
                configurations.Selector(it.name, it.name, 'kind=web')
                for it in classes
            ),
            classes,
        )
        self._class = request_class.name
        self.handle(messages.ConfigurationReceived(self.configuration))
        self.report_all(1)

    def handle(self, event: messages.Event) -> list[messages.Action]:
        """Handle one event; return the resulting actions."""
        state, actions = dispatch.handle_event(self._state, event, self.now)
        self._state = state
        self.actions.extend(actions)
        return actions

    def pass_time(self, seconds: float) -> list[messages.Action]:
        """Let time pass; return the resulting actions."""
        self.now += seconds
        return self.handle(messages.Tick())

    def report_all(self, *snapshot_numbers: int, sequence: int = 1) -> None:
        """Let every target report these snapshots."""
        for shard, replica in self.target_names:
            self.report(shard, replica, *snapshot_numbers, sequence=sequence)

    def report(
        self,
        shard: int,
        replica: int,
        *snapshot_numbers: int,
        sequence: int = 1,
        version: int | None = None,
    ) -> None:
        """Let one target report its snapshots."""
        size = 65536 // self.shards
        high = 65536 if shard == self.shards - 1 else (shard + 1) * size
        holdings = tuple(
            snapshots.Holding(number, shard, self.shards, shard * size, high)
            for number in snapshot_numbers
        )
        name = self.target_names[shard, replica]
        health = messages.Health(
            name, LIVE, 1.0, sequence, LOAD, holdings, version
        )
        self.handle(messages.TargetProbed(name, health))

    def submit(
        self,
        token: int = 1,
        key: str | None = None,
        deadline: float = 1.0,
        class_name: str = '',
    ) -> list[messages.Send]:
        """Submit a query; return its sub-requests."""
        query = messages.Query(
            f'id-{token}',
            class_name or self._class,
            {},
            key,
            self.now,
            self.now + deadline,
        )
        return list_sends(self.handle(messages.QuerySubmitted(token, query)))

    def answer(self, send: messages.Send, *ids: str) -> list[messages.Action]:
        """Answer a sub-request with rows of these ids."""
        rows = tuple({'id': name, 'rank': 1.0} for name in ids)
        return self.handle(
            messages.PartAnswered(send.part, send.target.name, rows, LIVE, LOAD)
        )

    def refuse(
        self, send: messages.Send, reason: messages.RefusalReason
    ) -> list[messages.Action]:
        """Refuse a sub-request without running it."""
        name = send.target.name
        return self.handle(messages.PartRefused(send.part, name, reason))

    def fail(
        self,
        send: messages.Send,
        fault: messages.Fault = messages.Fault.CONNECTION_LOST,
    ) -> list[messages.Action]:
        """Fail a sub-request with unknown outcome; its target stays up.

        After a lost connection, the target is checked.
        """
        name = send.target.name
        actions = self.handle(messages.PartFailed(send.part, name, fault))
        if fault is messages.Fault.CONNECTION_LOST:
            actions += self.handle(messages.TargetChecked(name, exited=False))
        return actions

    def crash_target(self, send: messages.Send) -> list[messages.Action]:
        """Crash the target that runs a sub-request."""
        lost = messages.Fault.CONNECTION_LOST
        name = send.target.name
        actions = self.handle(messages.PartFailed(send.part, name, lost))
        return actions + self.handle(messages.TargetChecked(name, exited=True))

    def list_replies(self) -> list[messages.Reply]:
        """List the replies so far."""
        return [
            action
            for action in self.actions
            if isinstance(action, messages.Reply)
        ]

    def set_hedge_delay(self, class_name: str, delay_s: float) -> None:
        """Set the hedge delay of a class."""
        class_group = tables.ClassGroup(class_name, 'web')
        window = hedges.Window(
            samples=hedges.MIN_SAMPLES, samples_since_refresh=0, delay_s=delay_s
        )
        self._state.tables.latency_windows[class_group] = window

    def check_idle(self) -> None:
        """Check that no state is kept of completed queries."""
        host_tables = self._state.tables
        remaining = (
            host_tables.active_runs,
            host_tables.attempts,
            host_tables.admitted_queries,
            host_tables.queued_queries,
        )
        assert not any(remaining)
        assert not any(stats.in_flight for stats in host_tables.stats.values())


def list_sends(actions: list[messages.Action]) -> list[messages.Send]:
    """List the sub-requests among actions."""
    return [action for action in actions if isinstance(action, messages.Send)]
