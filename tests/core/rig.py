"""Drive the decisions of one host by hand, without sockets or clocks."""

from fuchsiahaven.core import policies
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import dispatch, hedges, states, tables
from fuchsiahaven.core.targets import messages, snapshots

CENTRE = 'Quilicura'
LIVE = messages.TargetState.LIVE
LOAD = messages.Load(0, 0, 2)


class Rig:
    """Hold one host, its time, and what it has asked the edge to do."""

    def __init__(
        self,
        request_class: configurations.RequestClass,
        shards: int = 3,
        replicas: int = 2,
        policy: policies.Policy = policies.STANDARD,
        others: tuple[configurations.RequestClass, ...] = (),
    ) -> None:
        """Configure one group and let all its targets report snapshot 1."""
        self.now = 100.0
        self.shards = shards
        self.actions: list[messages.Action] = []
        self.names = {
            (shard, copy): f'web-{shard}/{copy}'
            for shard in range(shards)
            for copy in range(replicas)
        }
        targets = tuple(
            configurations.Target(name, f'10.0.0.{number}:1', CENTRE)
            for number, name in enumerate(self.names.values())
        )
        group = configurations.Group('web', (('kind', 'web'),), targets)
        classes = (request_class, *others)
        self._state = states.start(CENTRE, float, policy)
        self.configuration = configurations.Configuration(
            1,
            (group,),
            tuple(
                configurations.Selector(one.name, one.name, 'kind=web')
                for one in classes
            ),
            classes,
        )
        self._class = request_class.name
        self.tell(messages.Configured(self.configuration))
        self.hold(1)

    def tell(self, event: messages.Event) -> list[messages.Action]:
        """Let one event happen; return what it made the host do."""
        state, done = dispatch.handle(self._state, event, self.now)
        self._state = state
        self.actions.extend(done)
        return done

    def pass_time(self, seconds: float) -> list[messages.Action]:
        """Let time pass."""
        self.now += seconds
        return self.tell(messages.Ticked())

    def hold(self, *numbers: int, sequence: int = 1) -> None:
        """Let every target report that it holds these snapshots."""
        for shard, copy in self.names:
            self.report(shard, copy, *numbers, sequence=sequence)

    def report(
        self,
        shard: int,
        copy: int,
        *numbers: int,
        sequence: int = 1,
        version: int | None = None,
    ) -> None:
        """Let one target report what it holds."""
        size = 65536 // self.shards
        high = 65536 if shard == self.shards - 1 else (shard + 1) * size
        holdings = tuple(
            snapshots.Holding(number, shard, self.shards, shard * size, high)
            for number in numbers
        )
        name = self.names[shard, copy]
        health = messages.Health(
            name, LIVE, 1.0, sequence, LOAD, holdings, version
        )
        self.tell(messages.Probed(name, health))

    def ask(
        self,
        token: int = 1,
        key: str | None = None,
        deadline: float = 1.0,
        class_name: str = '',
    ) -> list[messages.Send]:
        """Ask a query; return the sub-requests that it made."""
        query = messages.Query(
            f'id-{token}',
            class_name or self._class,
            {},
            key,
            self.now,
            self.now + deadline,
        )
        return find_sends(self.tell(messages.Submitted(token, query)))

    def answer(self, send: messages.Send, *ids: str) -> list[messages.Action]:
        """Answer a sub-request with rows of these ids."""
        rows = tuple({'id': name, 'rank': 1.0} for name in ids)
        return self.tell(
            messages.Answered(send.part, send.target.name, rows, LIVE, LOAD)
        )

    def refuse(
        self, send: messages.Send, reason: messages.RefusalReason
    ) -> list[messages.Action]:
        """Refuse a sub-request, not run."""
        name = send.target.name
        return self.tell(messages.Refused(send.part, name, reason))

    def lose(
        self,
        send: messages.Send,
        fault: messages.Fault = messages.Fault.CONNECTION_LOST,
    ) -> list[messages.Action]:
        """Break a sub-request with unknown outcome; its target lives on.

        Its pool looks whether it does where a connection was lost.
        """
        name = send.target.name
        done = self.tell(messages.Broken(send.part, name, fault))
        if fault is messages.Fault.CONNECTION_LOST:
            done += self.tell(messages.Looked(name, ended=False))
        return done

    def end_target(self, send: messages.Send) -> list[messages.Action]:
        """End the target that runs a sub-request."""
        lost = messages.Fault.CONNECTION_LOST
        name = send.target.name
        done = self.tell(messages.Broken(send.part, name, lost))
        return done + self.tell(messages.Looked(name, ended=True))

    def replies(self) -> list[messages.Reply]:
        """List the replies given so far."""
        return [one for one in self.actions if isinstance(one, messages.Reply)]

    def hedge_after(self, class_name: str, delay: float) -> None:
        """Let the host know how long answers to a class take."""
        kind = tables.ClassGroup(class_name, 'web')
        window = hedges.Window(total=hedges.FEWEST, stale=0, delay=delay)
        self._state.tables.windows[kind] = window

    def check_idle(self) -> None:
        """Check that nothing is kept of queries that have ended."""
        known = self._state.tables
        kept = (known.runs, known.flying, known.begun, known.waiting)
        assert not any(kept)
        assert not any(stats.in_flight for stats in known.stats.values())


def find_sends(actions: list[messages.Action]) -> list[messages.Send]:
    """Pick the sub-requests out of what a host does."""
    return [one for one in actions if isinstance(one, messages.Send)]
