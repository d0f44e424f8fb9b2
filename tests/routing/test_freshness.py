"""Test that no host admits a key that was revoked too long ago."""

import math
import random
from typing import Final, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiahaven.relay import long_polls, store_readers
from fuchsiahaven.routing import configs, facts, freshness
from tests.routing import freshness_model

HOSTS: Final = 3
CONFIGURATION_WITH_KEYS: Final = freshness_model.CONFIGURATION_WITH_KEYS
REVOKE_S: Final = freshness_model.REVOKE_S

hosts = st.integers(0, HOSTS - 1)
sources = st.one_of(st.none(), hosts)
positions = st.integers(0, 5)
keys = st.integers(0, freshness_model.KEY_COUNT - 1)
requests = st.tuples(st.just('request'), hosts, sources, st.booleans())
request_steps = st.tuples(st.just('move'), positions)
durations = st.tuples(st.just('advance'), st.sampled_from((0.1, 0.4, 1.2, 4.8)))
pauses = st.sampled_from((0.0, 0.3, 2.0))
toggles = st.one_of(st.none(), keys)
trips = st.builds(
    freshness_model.RoundTrip,
    hosts,
    sources,
    st.booleans(),
    st.tuples(pauses, pauses, pauses),
    st.tuples(toggles, toggles, toggles),
)
steps = st.one_of(
    requests,
    requests,
    request_steps,
    request_steps,
    request_steps,
    durations,
    durations,
    st.tuples(st.just('trip'), trips),
    st.tuples(st.just('trip'), trips),
    st.tuples(st.just('change'), keys),
    st.tuples(st.just('lose'), positions),
    st.tuples(st.just('restart'), hosts),
    st.tuples(st.just('restore'), positions),
    st.tuples(st.just('forget'), keys, pauses, hosts),
)


class Clock:
    """Own a time that tests set."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.now = 500.0

    def read(self) -> float:
        """Return the time."""
        return self.now


def make_freshness(clock: Clock) -> freshness.Freshness:
    """Make the freshness of a host that has customers and no proof yet."""
    host_freshness = freshness.Freshness(REVOKE_S, clock.read)
    host_freshness.update_configuration(CONFIGURATION_WITH_KEYS)
    return host_freshness


def apply_step(world: freshness_model.World, step: tuple[object, ...]) -> None:
    """Apply one step."""
    match step:
        case ('request', int(host), other, bool(configuration_only)):
            assert other is None or isinstance(other, int)
            world.send_request(
                host, other, configuration_only=configuration_only
            )
        case ('trip', freshness_model.RoundTrip() as trip):
            world.make_round_trip(trip)
        case ('move', int(position)):
            world.advance_request(position)
        case ('advance', float(seconds)):
            world.advance(seconds)
        case ('change', int(key)):
            world.operator.toggle_key(key)
        case ('lose', int(position)):
            world.lose_request(position)
        case ('restart', int(host)):
            world.restart_host(host)
        case ('forget', int(key), float(pause), int(host)):
            world.operator.toggle_key(key)
            world.operator.restore(0)
            world.advance(pause)
            world.read_store(host)
        case ('restore', int(back)):
            world.operator.restore(back)


@settings(max_examples=600, deadline=None)
@given(st.lists(steps, min_size=15, max_size=60), st.booleans())
def test_no_host_admits_a_revoked_key_too_late(
    history: list[tuple[object, ...]], has_eras: bool
) -> None:
    """Guard against a revoked key that is admitted seconds too long.

    Reads and polls are sent, arrive, are held, answered, lost and delivered in
    any order and after any time, as when hosts are cut off, frozen or
    suspended; hosts restart, and the store is restored from copies.
    """
    world = freshness_model.World(HOSTS, has_eras=has_eras)
    for step in history:
        apply_step(world, step)
        world.check_keys()
    world.advance(REVOKE_S)


class Poll(NamedTuple):
    """Hold a poll of a host, or its answer under way."""

    sent_at: float
    arrives_at: float
    age: float
    returns_at: float = math.inf
    proof: facts.Proof | None = None


class Reader:
    """Own a host that reads a store in which nothing changes."""

    def __init__(self, clock: Clock, draw: random.Random) -> None:
        """Start with a read."""
        self.freshness = make_freshness(clock)
        self._draw = draw
        self._sent_at = clock.now
        self._answered_at = clock.now

    def run_due(self) -> None:
        """Run what is due."""
        now = self.freshness.read_clock()
        if now >= self._answered_at:
            self.freshness.record_read(self._sent_at, facts.NO_ERA)
            wait = self.freshness.limit_time(
                store_readers.WATCH_WAIT_S, freshness.WATCH_FRACTION
            )
            self._sent_at = now + self.freshness.limit_time(
                1, freshness.PAUSE_FRACTION
            )
            self._answered_at = (
                self._sent_at + wait + self._draw.uniform(0, 0.04)
            )


class Follower:
    """Own a host that polls another one again and again."""

    def __init__(
        self, clock: Clock, other: freshness.Freshness, draw: random.Random
    ) -> None:
        """Start with a poll."""
        self.freshness = make_freshness(clock)
        self._other = other
        self._draw = draw
        self._max_delay_s = 0.02
        self._poll = self._send_poll()

    def run_due(self) -> None:
        """Run what is due."""
        now = self.freshness.read_clock()
        poll = self._poll
        if now >= poll.returns_at:
            self.freshness.record_proof(poll.sent_at, poll.proof, facts.NO_ERA)
            self._poll = self._send_poll()
        elif poll.proof is None and now >= poll.arrives_at:
            other = self._other
            is_worth_sending = other.is_proof_useful(poll.arrives_at, poll.age)
            if (
                is_worth_sending
                or now >= poll.arrives_at + long_polls.MAX_HOLD_S
            ):
                returns_at = now + self._draw.uniform(0, self._max_delay_s)
                proof = other.make_proof(poll.arrives_at)
                self._poll = poll._replace(returns_at=returns_at, proof=proof)

    def _send_poll(self) -> Poll:
        now = self.freshness.read_clock()
        arrives_at = now + self._draw.uniform(0, self._max_delay_s)
        return Poll(now, arrives_at, self.freshness.compute_age())


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_hosts_stay_fresh_without_any_change(seed: int) -> None:
    """Guard against hosts that refuse requests while nothing changes.

    Without changes in the store each watch lasts its whole wait. A host may
    refuse after 0.6 of the bound without a path to the store, so without a cut
    the age has to be far below that: it stays under 0.4, and no alternate
    source is tried.
    """
    draw = random.Random(seed)
    clock = Clock()
    reader = Reader(clock, draw)
    first = Follower(clock, reader.freshness, draw)
    others = [
        first,
        *[Follower(clock, first.freshness, draw) for _ in range(4)],
    ]
    oldest = 0.0
    for tick in range(3000):
        clock.now += 0.01
        reader.run_due()
        for other in others:
            other.run_due()
        if tick > 300:
            oldest = max(oldest, *(it.freshness.compute_age() for it in others))
    assert oldest < 0.4 * REVOKE_S
    assert oldest < freshness.URGENT_AGE_FRACTION * REVOKE_S


def test_counts_the_age_of_a_report_from_its_request() -> None:
    """Guard against a report that counts as fresher by its own delay.

    The report of this test takes two seconds.
    """
    clock = Clock()
    sender, receiver = make_freshness(clock), make_freshness(clock)
    sender.record_read(clock.now, facts.NO_ERA)
    clock.now += 1
    sent_at = clock.now
    proof = sender.make_proof(clock.now)
    clock.now += 2
    receiver.record_proof(sent_at, proof, facts.NO_ERA)
    assert receiver.compute_age() == 3


def test_counts_reads_while_a_request_was_held() -> None:
    """The sender's read counts, less at most the delay of the request."""
    clock = Clock()
    sender, receiver = make_freshness(clock), make_freshness(clock)
    sent_at = clock.now
    clock.now += 0.25
    arrived_at = clock.now
    clock.now += 0.5
    sender.record_read(clock.now, facts.NO_ERA)
    receiver.record_proof(sent_at, sender.make_proof(arrived_at), facts.NO_ERA)
    assert receiver.compute_age() == 0.25


def test_refuses_from_the_bound_on_with_a_retry_delay() -> None:
    """A host without any proof refuses as well."""
    clock = Clock()
    host_freshness = make_freshness(clock)
    assert host_freshness.compute_wait() == freshness.MAX_WAIT_S
    host_freshness.record_read(clock.now, facts.NO_ERA)
    clock.now += (1 - freshness.DRIFT_MARGIN_FRACTION) * REVOKE_S - 0.01
    assert not host_freshness.compute_wait()
    clock.now += 0.02
    assert host_freshness.compute_wait() == freshness.MIN_WAIT_S
    clock.now += 60
    assert host_freshness.compute_wait() == freshness.MAX_WAIT_S


def test_is_off_without_a_revocation_bound() -> None:
    """Deployments without the bound refuse nothing and send nothing more."""
    host_freshness = freshness.Freshness()
    host_freshness.update_configuration(CONFIGURATION_WITH_KEYS)
    assert not host_freshness.compute_wait()
    assert host_freshness.make_proof(0) is None
    assert host_freshness.limit_time(1.8, freshness.WATCH_FRACTION) == 1.8
    without = freshness.Freshness(REVOKE_S)
    without.update_configuration(configs.EMPTY_CONFIGURATION)
    assert not without.is_enforced
    assert without.make_proof(0) is None


def test_a_read_of_a_restored_store_proves_nothing_at_first() -> None:
    """Guard against forgetting a revocation that the copy lacks.

    A host that was cut off reads the store just after it was restored from a
    copy; operators have yet to write again what was lost.
    """
    clock = Clock()
    host_freshness = make_freshness(clock)
    host_freshness.record_read(clock.now, 3)
    clock.now += freshness.RESTORE_SETTLING_S
    assert host_freshness.record_read(clock.now, 3)
    clock.now += REVOKE_S
    assert not host_freshness.record_read(clock.now, 4)
    assert host_freshness.compute_wait()
    clock.now += freshness.RESTORE_SETTLING_S
    assert host_freshness.record_read(clock.now, 4)
    assert not host_freshness.compute_wait()


def test_a_started_host_accepts_the_era_of_another_host() -> None:
    """Guard against a restarted reader that leaves all others without proof."""
    clock = Clock()
    other, host_freshness = make_freshness(clock), make_freshness(clock)
    other.record_read(clock.now, 3)
    clock.now += freshness.RESTORE_SETTLING_S
    other.record_read(clock.now, 3)
    assert not host_freshness.record_read(clock.now, 3)
    host_freshness.record_proof(clock.now, other.make_proof(clock.now), 3)
    assert host_freshness.record_read(clock.now, 3)


def test_a_report_without_proof_proves_nothing() -> None:
    """A host of the previous version sends no customers and no proof."""
    host_freshness = make_freshness(Clock())
    host_freshness.record_proof(500, None, facts.NO_ERA)
    assert host_freshness.compute_wait()


def test_answers_early_only_if_the_asker_gains() -> None:
    """A poll without an age gets no early answer."""
    clock = Clock()
    host_freshness = make_freshness(clock)
    host_freshness.record_read(clock.now, facts.NO_ERA)
    assert host_freshness.is_proof_useful(clock.now, math.inf)
    assert host_freshness.is_proof_useful(clock.now, 1)
    assert not host_freshness.is_proof_useful(clock.now, 0.1)
    assert not host_freshness.is_proof_useful(clock.now, None)
