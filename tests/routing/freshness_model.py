"""Model hosts that prove how old their knowledge of keys is, in any order."""

import enum
from typing import Final, NamedTuple

from fuchsiahaven.routing import (
    changes,
    codecs,
    configs,
    facts,
    freshness,
    ledgers,
)
from tests.routing import store_model

REVOKE_S: Final = 5.0
KEYS: Final = 3
#: Operators write again in time only where time goes on in small steps.
STEP_S: Final = 0.1
#: The configuration's keys are told by its version, so that reports need not
#: carry them here.
KEYED: Final = configs.NOTHING._replace(customers=())


class Operator:
    """Own the store, and which key each version has."""

    def __init__(self, *, eras: bool) -> None:
        """Begin with all keys; a store without eras comes from no copy."""
        self.store = store_model.Store()
        self.eras = eras
        self.valid = frozenset(range(KEYS))
        self.by_version = {self.store.version: self.valid}
        self.gone: dict[int, float] = {}

    def change(self, key: int) -> None:
        """Take a key away, or give it again."""
        self.valid ^= {key}
        self.store.change_version()
        self.by_version[self.store.version] = self.valid
        if key in self.valid:
            self.gone.pop(key)
        else:
            self.gone[key] = self.store.now

    def restore(self, back: int) -> None:
        """Come back from a copy."""
        if self.eras:
            self.store.restore(back, 1)

    def answer(self, ledger: facts.Ledger) -> facts.Report:
        """Answer a host that reads on from there."""
        report = self.store.watch(ledger)
        if self.eras:
            return report
        told = tuple(it._replace(era=facts.NO_ERA) for it in report.facts)
        return report._replace(facts=told, era=facts.NO_ERA)


class Host:
    """Own what a host knows and by which clock it counts."""

    def __init__(self, operator: Operator, life: int) -> None:
        """Start knowing nothing."""
        self.life = life
        self.ledger = ledgers.begin(life)
        self.keys = freshness.Freshness(REVOKE_S, self._read_clock)
        self._operator = operator
        self._ahead = 1000.0 * (life % 7)

    def take(self, report: facts.Report) -> None:
        """Take in a report."""
        now = self._operator.store.now
        returned = None if report.proof else store_model.NEVER
        self.ledger = ledgers.merge(
            self.ledger, report, now, returned=returned
        ).ledger
        if facts.find_configuration(self.ledger).version:
            self.keys.note_configuration(KEYED)

    def list_admitted(self) -> frozenset[int]:
        """List the keys that this host admits now."""
        version = facts.find_configuration(self.ledger).version
        if not version or self.keys.compute_wait():
            return frozenset()
        return self._operator.by_version[version]

    def tell(
        self, arrived: float, after: facts.Cursor, *, alone: bool
    ) -> facts.Report:
        """Answer another host, as over the wire."""
        now = self._operator.store.now
        report = changes.list_changes(self.ledger, after, now)
        report = report._replace(proof=self.keys.make_proof(arrived), age=0)
        if alone:
            report = take_alone(report)
        return codecs.read_report(codecs.write_report(report))

    def _read_clock(self) -> float:
        return self._operator.store.now + self._ahead


class Stage(enum.Enum):
    """Say how far a question has come."""

    LEFT = 'left'
    ARRIVED = 'arrived'
    ANSWERED = 'answered'


class Question(NamedTuple):
    """Hold a question on its way; `other` is None where it goes to the store.

    With `alone` only the configuration is asked for.
    """

    host: Host
    other: Host | None
    alone: bool
    left: float
    ledger: facts.Ledger
    stage: Stage = Stage.LEFT
    arrived: float = 0.0
    report: facts.Report | None = None


class Trip(NamedTuple):
    """Describe a question that goes there and back.

    The `pauses` are those before it arrives, is answered and comes back; at
    the beginning of each one a key may change.
    """

    host: int
    other: int | None
    alone: bool
    pauses: tuple[float, float, float]
    keys: tuple[int | None, int | None, int | None]


def take_alone(report: facts.Report) -> facts.Report:
    """Keep the configuration of a report and nothing else."""
    found = tuple(
        it
        for it in report.facts
        if it.key.subject is facts.Subject.CONFIGURATION
    )
    return report._replace(facts=found, whole=False, revision=0)


class World:
    """Own the store, the hosts and what is on its way between them."""

    def __init__(self, count: int, *, eras: bool) -> None:
        """Start with hosts that have read the store long ago."""
        self.operator = Operator(eras=eras)
        self.lives = count
        self.hosts = [Host(self.operator, life + 1) for life in range(count)]
        self.questions: list[Question] = []
        for _ in range(2):
            for number in range(count):
                self.ask(number, None, alone=False)
            while self.questions:
                self.move(0)
            self.advance(freshness.REWRITTEN_S + 1)

    def advance(self, seconds: float) -> None:
        """Let time pass, and check all the while."""
        for _ in range(round(seconds / STEP_S)):
            self.operator.store.advance(STEP_S)
            self.check()

    def ask(self, host: int, other: int | None, *, alone: bool) -> None:
        """Have a question leave."""
        asker = self.hosts[host]
        asked = None if other is None else self.hosts[other]
        if asked is not asker:
            left = asker.keys.read_clock()
            self.questions.append(
                Question(asker, asked, alone, left, asker.ledger)
            )

    def move(self, number: int) -> None:
        """Have a question go on by one stage."""
        if not self.questions:
            return
        question = self.questions.pop(number % len(self.questions))
        match question.stage:
            case Stage.LEFT:
                self._arrive(question)
            case Stage.ARRIVED:
                self._answer(question)
            case Stage.ANSWERED:
                self._deliver(question)

    def go_round(self, trip: Trip) -> None:
        """Have a question go there and back with pauses on its way."""
        self.ask(trip.host, trip.other, alone=trip.alone)
        for pause, key in zip(trip.pauses, trip.keys, strict=True):
            if key is not None:
                self.operator.change(key)
            self.advance(pause)
            self.move(-1)

    def read(self, host: int) -> None:
        """Have a host read the store without any pause."""
        none = (None, None, None)
        self.go_round(Trip(host, None, False, (0, 0, 0), none))

    def lose(self, number: int) -> None:
        """Lose a question or its answer."""
        if self.questions:
            self.questions.pop(number % len(self.questions))

    def restart(self, host: int) -> None:
        """Start a host anew."""
        ended = self.hosts[host]
        self.questions = [
            it for it in self.questions if ended not in {it.host, it.other}
        ]
        self.lives += 1
        self.hosts[host] = Host(self.operator, self.lives)

    def check(self) -> None:
        """Check that no host admits a key that has been dead for too long."""
        now = self.operator.store.now
        for host in self.hosts:
            for key in host.list_admitted():
                gone = self.operator.gone.get(key, now)
                assert now <= gone + REVOKE_S, (host.life, key, now - gone)

    def _arrive(self, question: Question) -> None:
        arrived = 0.0
        if question.other is not None:
            arrived = question.other.keys.read_clock()
        self.questions.append(
            question._replace(stage=Stage.ARRIVED, arrived=arrived)
        )

    def _answer(self, question: Question) -> None:
        if question.other is None:
            report = self.operator.answer(question.ledger)
            if question.alone:
                report = take_alone(report)
        else:
            report = question.other.tell(
                question.arrived, facts.START, alone=question.alone
            )
        self.questions.append(
            question._replace(stage=Stage.ANSWERED, report=report)
        )

    def _deliver(self, question: Question) -> None:
        host = question.host
        report = question.report
        assert report is not None
        if question.alone and report.era > host.ledger.era:
            return
        if question.other is None:
            if report.era < host.ledger.era:
                return
            host.keys.record_read(question.left, report.era)
        else:
            host.keys.record_proof(question.left, report.proof, report.era)
        host.take(report)
