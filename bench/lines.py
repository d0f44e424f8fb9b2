"""Keep the new work that waits at each host of a model, in its order."""

from collections.abc import Callable, Sequence

from fuchsiahaven.routing import events, rooms, states, turns, waitings

Perform = Callable[[int, events.Action, float], None]


class Lines:
    """Own what waits at each host; `perform` carries refusals out."""

    def __init__(
        self, desks: Sequence[states.Router], perform: Perform
    ) -> None:
        """Start with nothing that waits."""
        self._desks = desks
        self._perform = perform
        self._turns: list[turns.Turns[waitings.New]] = [
            turns.Turns() for _ in desks
        ]

    def keep(self, host: int, event: object, now: float) -> bool:
        """Have new work wait at a busy host; tell whether it does."""
        if not isinstance(
            event, events.RequestReceived | events.DelegatedRequestReceived
        ):
            return False
        desk = self._desks[host]
        if not rooms.is_contended(desk.index):
            return False
        work = waitings.weigh(desk, event, now)
        if work is None:
            return False
        left = self._turns[host].offer(work)
        if left is not None:
            self._refuse(host, left, waitings.Why.FULL, now)
        return True

    def take(self, host: int, now: float) -> waitings.New | None:
        """Take what is next, and refuse what is too late."""
        for late in self._turns[host].take_late(now):
            self._refuse(host, late, waitings.Why.LATE, now)
        work = self._turns[host].take()
        return None if work is None else work.what

    def has_more(self, host: int) -> bool:
        """Tell whether anything waits at a host."""
        return bool(self._turns[host])

    def _refuse(
        self, host: int, work: waitings.Work, why: waitings.Why, now: float
    ) -> None:
        for action in waitings.hand_back(self._desks[host], work, why, now):
            self._perform(host, action, now)
