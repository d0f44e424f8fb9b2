"""Test that all hosts together keep to the bound on extra load."""

import bisect
import math
from collections.abc import Sequence
from typing import NamedTuple

from hypothesis import example, given
from hypothesis import strategies as st

from fuchsiahaven.routing import deployments, events, load_shares
from tests.routing import router_rig

WINDOW_S = 10.0
LIMIT = deployments.ExtraLoadLimit(0.2, 40.0, WINDOW_S)
SERVICE = 'one'
#: How long the entry of a host that has ended stays in the list of hosts.
ENTRY_TTL_S = 30.0
#: Hosts write an entry that the store has lost again when its lease is due.
RENEW_S = 9.0
MAX_HOSTS = 8
#: Requests that arrive at each host in a step, which may all be sent again.
BURST = 12


class Change(NamedTuple):
    """Describe what happens to some hosts before a burst of requests.

    `size` is how many hosts it concerns, `lag` the fraction of the settling
    time after which the others see it.
    """

    kind: str
    first: int
    size: int
    pause_s: float
    lag: float


class Host(router_rig.Rig):
    """Hold one host and what it sees of the others."""

    def __init__(self, now: float) -> None:
        """Start a host that has not yet seen any other."""
        super().__init__([], [])
        self.now = now
        self.router.controls.load_shares.record_start(now, WINDOW_S)

    def send_burst(self, now: float, count: int, *, is_listed: bool) -> int:
        """Send a burst of requests, and as many again as is allowed."""
        self.now = now
        listed = (router_rig.HOST,) if is_listed else ()
        self.post(events.HostsChanged(count, listed))
        budget = self.router.get_budget(SERVICE)
        sent = 0
        for _ in range(BURST):
            budget.record_request(now)
            share = self.router.controls.load_shares.find_share(now)
            if budget.count_remaining(now, share) >= 1:
                budget.record_extra(now)
                sent += 1
        return sent


class Entry(NamedTuple):
    """Hold from when until when the store lists a host."""

    since: float
    until: float = math.inf


class Fleet:
    """Hold hosts that start, end and come back, and all that they send.

    `lapses` are the times at which the store has lost all entries.
    """

    def __init__(self, count: int) -> None:
        """Start hosts that know each other, and wait for their part."""
        self.now = 100.0
        self.hosts = {it: Host(self.now) for it in range(count)}
        self.entries = [Entry(0) for _ in range(count)]
        self.lapses: list[float] = []
        self.requests: list[float] = []
        self.extras: list[float] = []
        self.send_bursts()
        self.now += load_shares.HOSTS_SETTLE_S + WINDOW_S

    def apply(self, change: Change) -> None:
        """Change the hosts, and have all send a burst afterwards."""
        running = sorted(self.hosts)
        chosen = [
            running[(change.first + it) % len(running)]
            for it in range(min(change.size, len(running)))
        ]
        seen_at = self.now + change.lag * load_shares.HOSTS_SETTLE_S
        match change.kind:
            case 'restart':
                self.hosts.update((it, Host(self.now)) for it in chosen)
            case 'leave':
                for number in chosen[1:]:
                    self.hosts.pop(number)
                    self.entries[number] = Entry(0, self.now + ENTRY_TTL_S)
            case 'join':
                for _ in chosen:
                    self.hosts[len(self.entries)] = Host(self.now)
                    self.entries.append(Entry(seen_at))
            case 'lapse':
                self.lapses.append(seen_at)
        self.send_bursts()
        self.now += change.pause_s

    def send_bursts(self) -> None:
        """Have each host read the list, and send a burst."""
        listed = [self.is_listed(it) for it in range(len(self.entries))]
        for number, host in self.hosts.items():
            self.requests.extend([self.now] * BURST)
            sent = host.send_burst(
                self.now, max(1, sum(listed)), is_listed=listed[number]
            )
            self.extras.extend([self.now] * sent)

    def is_listed(self, number: int) -> bool:
        """Return whether the store lists a host, which may have ended."""
        entry = self.entries[number]
        delay_s = RENEW_S * (number % MAX_HOSTS + 1) / MAX_HOSTS
        is_lost = any(it <= self.now < it + delay_s for it in self.lapses)
        return entry.since <= self.now < entry.until and not is_lost


def count_within(times: Sequence[float], start: float, end: float) -> int:
    """Count the sorted times from `start` to `end`."""
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


CHANGES = st.builds(
    Change,
    st.sampled_from(('none', 'restart', 'leave', 'join', 'lapse')),
    st.integers(0, 7),
    st.integers(1, 8),
    st.floats(0, 6),
    st.floats(0, 1),
)
NOTHING = Change('none', 0, 1, 0.1, 0.0)
RESTART_ALL = Change('restart', 0, 8, 1.0, 0.0)
LAPSE = Change('lapse', 0, 1, 1.0, 0.0)


@given(st.integers(1, MAX_HOSTS), st.lists(CHANGES, max_size=25))
@example(6, [NOTHING, RESTART_ALL, NOTHING, RESTART_ALL, NOTHING])
@example(8, [NOTHING, LAPSE, NOTHING])
@example(8, [*[LAPSE._replace(pause_s=1.0)] * 16, NOTHING])
def test_all_hosts_keep_to_the_bound_in_any_window(
    count: int, changes: list[Change]
) -> None:
    """Guard against more repeats than allowed when hosts come and go.

    Hosts that start forget what they sent before, and those that remain use
    the part of hosts that are gone.
    """
    fleet = Fleet(count)
    for change in changes:
        fleet.apply(change)
    for start in set(fleet.extras):
        extra_count = count_within(fleet.extras, start, start + WINDOW_S)
        # A repeat may belong to a request of up to a window before.
        request_count = max(
            count_within(fleet.requests, earlier, earlier + WINDOW_S)
            for earlier in fleet.requests
            if start - WINDOW_S <= earlier <= start
        )
        assert extra_count <= LIMIT.fraction * request_count + LIMIT.slack
