"""Test that no host admits a key that was taken away too long ago."""

import math
import random
from typing import Final, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiahaven.relay import askers, readers
from fuchsiahaven.routing import configs, facts, freshness
from tests.routing import freshness_model

HOSTS: Final = 3
KEYED: Final = freshness_model.KEYED
REVOKE_S: Final = freshness_model.REVOKE_S

hosts = st.integers(0, HOSTS - 1)
whoever = st.one_of(st.none(), hosts)
places = st.integers(0, 5)
keys = st.integers(0, freshness_model.KEYS - 1)
asks = st.tuples(st.just('ask'), hosts, whoever, st.booleans())
moves = st.tuples(st.just('move'), places)
times = st.tuples(st.just('advance'), st.sampled_from((0.1, 0.4, 1.2, 4.8)))
pauses = st.sampled_from((0.0, 0.3, 2.0))
changes = st.one_of(st.none(), keys)
trips = st.builds(
    freshness_model.Trip,
    hosts,
    whoever,
    st.booleans(),
    st.tuples(pauses, pauses, pauses),
    st.tuples(changes, changes, changes),
)
steps = st.one_of(
    asks,
    asks,
    moves,
    moves,
    moves,
    times,
    times,
    st.tuples(st.just('trip'), trips),
    st.tuples(st.just('trip'), trips),
    st.tuples(st.just('change'), keys),
    st.tuples(st.just('lose'), places),
    st.tuples(st.just('restart'), hosts),
    st.tuples(st.just('restore'), places),
    st.tuples(st.just('forget'), keys, pauses, hosts),
)


class Clock:
    """Own a time that is set by hand."""

    def __init__(self) -> None:
        """Start somewhere."""
        self.now = 500.0

    def read(self) -> float:
        """Read it."""
        return self.now


def make(clock: Clock) -> freshness.Freshness:
    """Make what a host knows that has customers and knows nothing yet."""
    known = freshness.Freshness(REVOKE_S, clock.read)
    known.note_configuration(KEYED)
    return known


def take_step(world: freshness_model.World, step: tuple[object, ...]) -> None:
    """Have one thing happen."""
    match step:
        case ('ask', int(host), other, bool(alone)):
            assert other is None or isinstance(other, int)
            world.ask(host, other, alone=alone)
        case ('trip', freshness_model.Trip() as trip):
            world.go_round(trip)
        case ('move', int(place)):
            world.move(place)
        case ('advance', float(seconds)):
            world.advance(seconds)
        case ('change', int(key)):
            world.operator.change(key)
        case ('lose', int(place)):
            world.lose(place)
        case ('restart', int(host)):
            world.restart(host)
        case ('forget', int(key), float(pause), int(host)):
            world.operator.change(key)
            world.operator.restore(0)
            world.advance(pause)
            world.read(host)
        case ('restore', int(back)):
            world.operator.restore(back)


@settings(max_examples=600, deadline=None)
@given(st.lists(steps, min_size=15, max_size=60), st.booleans())
def test_no_host_admits_a_dead_key(
    taken: list[tuple[object, ...]], eras: bool
) -> None:
    """Symptom: a key that was taken away is served seconds after its time.

    Reads and questions leave, arrive, are held, answered, lost and delivered
    in any order and after any time, as where hosts are cut off, frozen or
    suspended; hosts start anew, and the store comes back from copies.
    """
    world = freshness_model.World(HOSTS, eras=eras)
    for step in taken:
        take_step(world, step)
        world.check()
    world.advance(REVOKE_S)


class Poll(NamedTuple):
    """Hold a question of a host for its news, or its answer on its way."""

    left: float
    arrives: float
    age: float
    back: float = math.inf
    proof: facts.Proof | None = None


class Reader:
    """Own a host that reads a store in which nothing changes."""

    def __init__(self, clock: Clock, draw: random.Random) -> None:
        """Start by reading."""
        self.keys = make(clock)
        self._draw = draw
        self._left = clock.now
        self._answered = clock.now

    def go_on(self) -> None:
        """Do what is due."""
        now = self.keys.read_clock()
        if now >= self._answered:
            self.keys.record_read(self._left, facts.NO_ERA)
            wait = self.keys.limit_time(readers.WATCH_S, freshness.WATCH_SHARE)
            self._left = now + self.keys.limit_time(1, freshness.PAUSE_SHARE)
            self._answered = self._left + wait + self._draw.uniform(0, 0.04)


class Follower:
    """Own a host that asks another one again and again."""

    def __init__(
        self, clock: Clock, other: freshness.Freshness, draw: random.Random
    ) -> None:
        """Start by asking."""
        self.keys = make(clock)
        self._other = other
        self._draw = draw
        self._way = 0.02
        self._poll = self._ask()

    def go_on(self) -> None:
        """Do what is due."""
        now = self.keys.read_clock()
        poll = self._poll
        if now >= poll.back:
            self.keys.record_proof(poll.left, poll.proof, facts.NO_ERA)
            self._poll = self._ask()
        elif poll.proof is None and now >= poll.arrives:
            other = self._other
            gains = other.is_proof_useful(poll.arrives, poll.age)
            if gains or now >= poll.arrives + askers.HOLD_S:
                back = now + self._draw.uniform(0, self._way)
                proof = other.make_proof(poll.arrives)
                self._poll = poll._replace(back=back, proof=proof)

    def _ask(self) -> Poll:
        now = self.keys.read_clock()
        arrives = now + self._draw.uniform(0, self._way)
        return Poll(now, arrives, self.keys.compute_age())


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_calm_hosts_are_fresh_without_any_change(seed: int) -> None:
    """Symptom: hosts refuse requests on a quiet day.

    Nothing changes in the store, so each watch lasts its whole wait. A host
    without a way to the store for 0.6 of the time owes nothing, so a calm one
    has to be well below that: it is under 0.4, and never tries a second way.
    """
    draw = random.Random(seed)
    clock = Clock()
    reader = Reader(clock, draw)
    first = Follower(clock, reader.keys, draw)
    others = [first, *[Follower(clock, first.keys, draw) for _ in range(4)]]
    oldest = 0.0
    for tick in range(3000):
        clock.now += 0.01
        reader.go_on()
        for other in others:
            other.go_on()
        if tick > 300:
            oldest = max(oldest, *(it.keys.compute_age() for it in others))
    assert oldest < 0.4 * REVOKE_S
    assert oldest < freshness.URGENT_SHARE * REVOKE_S


def test_counts_an_answer_from_when_its_question_left() -> None:
    """Symptom: an answer two seconds late counts as fresh by two too much."""
    clock = Clock()
    teller, asker = make(clock), make(clock)
    teller.record_read(clock.now, facts.NO_ERA)
    clock.now += 1
    left = clock.now
    proof = teller.make_proof(clock.now)
    clock.now += 2
    asker.record_proof(left, proof, facts.NO_ERA)
    assert asker.compute_age() == 3


def test_counts_what_was_learned_while_a_question_was_held() -> None:
    """The teller's read counts, less no more than the question's way."""
    clock = Clock()
    teller, asker = make(clock), make(clock)
    left = clock.now
    clock.now += 0.25
    arrived = clock.now
    clock.now += 0.5
    teller.record_read(clock.now, facts.NO_ERA)
    asker.record_proof(left, teller.make_proof(arrived), facts.NO_ERA)
    assert asker.compute_age() == 0.25


def test_refuses_from_the_bound_on_and_says_when_to_come_back() -> None:
    """A host that has proved nothing refuses as well."""
    clock = Clock()
    known = make(clock)
    assert known.compute_wait() == freshness.MOST_WAIT_S
    known.record_read(clock.now, facts.NO_ERA)
    clock.now += (1 - freshness.MARGIN_SHARE) * REVOKE_S - 0.01
    assert not known.compute_wait()
    clock.now += 0.02
    assert known.compute_wait() == freshness.LEAST_WAIT_S
    clock.now += 60
    assert known.compute_wait() == freshness.MOST_WAIT_S


def test_is_off_where_keys_need_not_die_in_time() -> None:
    """Deployments without it refuse nothing and send nothing more."""
    known = freshness.Freshness()
    known.note_configuration(KEYED)
    assert not known.compute_wait()
    assert known.make_proof(0) is None
    assert known.limit_time(1.8, freshness.WATCH_SHARE) == 1.8
    without = freshness.Freshness(REVOKE_S)
    without.note_configuration(configs.NOTHING)
    assert not without.is_enforced
    assert without.make_proof(0) is None


def test_a_read_of_a_restored_store_proves_nothing_at_first() -> None:
    """Symptom: a withdrawal that the copy lacks is forgotten.

    A host that was out of touch reads the store that has just come back from a
    copy; operators have yet to write again what it lost.
    """
    clock = Clock()
    known = make(clock)
    known.record_read(clock.now, 3)
    clock.now += freshness.REWRITTEN_S
    assert known.record_read(clock.now, 3)
    clock.now += REVOKE_S
    assert not known.record_read(clock.now, 4)
    assert known.compute_wait()
    clock.now += freshness.REWRITTEN_S
    assert known.record_read(clock.now, 4)
    assert not known.compute_wait()


def test_a_host_that_starts_reads_on_in_an_era_that_another_knows() -> None:
    """Symptom: a reader that starts anew leaves all others without proof."""
    clock = Clock()
    other, known = make(clock), make(clock)
    other.record_read(clock.now, 3)
    clock.now += freshness.REWRITTEN_S
    other.record_read(clock.now, 3)
    assert not known.record_read(clock.now, 3)
    known.record_proof(clock.now, other.make_proof(clock.now), 3)
    assert known.record_read(clock.now, 3)


def test_a_report_of_the_version_before_proves_nothing() -> None:
    """It carries customers nowhere, and says nothing of its reads."""
    known = make(Clock())
    known.record_proof(500, None, facts.NO_ERA)
    assert known.compute_wait()


def test_tells_who_gains_by_it() -> None:
    """Who asks is told once it gains; who tells no age is not hurried."""
    clock = Clock()
    known = make(clock)
    known.record_read(clock.now, facts.NO_ERA)
    assert known.is_proof_useful(clock.now, math.inf)
    assert known.is_proof_useful(clock.now, 1)
    assert not known.is_proof_useful(clock.now, 0.1)
    assert not known.is_proof_useful(clock.now, None)
