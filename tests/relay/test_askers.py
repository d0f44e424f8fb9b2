"""Test when hosts that ask for news are answered, and what is proved then."""

import asyncio
import math
import urllib.parse
from typing import Final

from fuchsiahaven.relay import askers
from fuchsiahaven.routing import (
    configs,
    deployments,
    facts,
    freshness,
    report_codecs,
    store_views,
)
from tests.relay import peers

REVOKE_S: Final = 5.0


class Rig:
    """Own a host that knows one other, and whoever asks it."""

    def __init__(self, *, keyed: bool = True) -> None:
        """Start with what it read a second ago."""
        self.now = 100.0
        self.keys = freshness.Freshness(REVOKE_S, lambda: self.now)
        if keyed:
            known = configs.EMPTY_CONFIGURATION._replace(customers=())
            self.keys.update_configuration(known)
        self.keys.record_read(99, facts.NO_ERA)
        host = deployments.Host('host-1', '10.0.0.1:7000', 'north')
        fact = facts.Fact(facts.Key(facts.Subject.HOST, host.name), 1, host)
        self.ledger = store_views.merge_report(
            store_views.create(7),
            facts.Report(1, (fact,), full=True, age=0),
            asyncio.get_running_loop().time(),
            returned_at=None,
        ).view
        self.told: list[facts.Report] = []
        self.askers = askers.Askers(self._find_state, self.keys)

    def ask(self, keys_age: float | None) -> None:
        """Ask for what is newer than all that is known."""
        asked = {'after': report_codecs.encode_cursor(self.ledger.cursor)}
        if keys_age is not None:
            asked[askers.KEYS_AGE] = str(keys_age)
        self.askers.take(urllib.parse.urlencode(asked), self._note)

    def _note(self, body: bytes) -> None:
        self.told.append(report_codecs.decode_report(body))

    def _find_state(self) -> askers.State:
        return askers.State(self.ledger, lost=False)


def test_tells_at_once_who_gains() -> None:
    """Symptom: a host stays stale while the one that it asks is fresh."""

    async def check() -> None:
        rig = Rig()
        rig.ask(4)
        rig.ask(math.inf)
        proof = facts.Proof(-1, facts.NO_ERA)
        assert [it.proof for it in rig.told] == [proof, proof]

    peers.run(check())


def test_holds_who_gains_nothing_until_it_does() -> None:
    """Symptom: hosts that are calm ask each other without a pause."""

    async def check() -> None:
        rig = Rig()
        rig.ask(1.1)
        rig.ask(None)
        rig.now += 0.6
        rig.askers.tell_fresher()
        assert not rig.told
        rig.keys.record_read(100.4, facts.NO_ERA)
        rig.askers.tell_fresher()
        assert [it.proof for it in rig.told] == [facts.Proof(0.4, facts.NO_ERA)]
        rig.askers.tell_all()
        assert len(rig.told) == 2

    peers.run(check())


def test_proves_nothing_without_customers() -> None:
    """Hosts of other deployments send what they sent before."""

    async def check() -> None:
        rig = Rig(keyed=False)
        rig.ask(4)
        rig.ask(math.nan)
        assert not rig.told
        rig.askers.tell_all()
        assert [it.proof for it in rig.told] == [None, None]

    peers.run(check())
