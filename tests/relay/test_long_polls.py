"""Test when polls of other hosts are answered, and with which proof."""

import asyncio
import math
import urllib.parse
from typing import Final

from fuchsiahaven.relay import long_polls
from fuchsiahaven.routing import (
    configs,
    deployments,
    facts,
    freshness,
    report_codecs,
    store_views,
)
from tests.relay import servers

REVOKE_S: Final = 5.0


class Rig:
    """Hold the polls of a host that knows one other host."""

    def __init__(self, *, keyed: bool = True) -> None:
        """Start with a view that was read a second ago."""
        self.now = 100.0
        self.keys = freshness.Freshness(REVOKE_S, lambda: self.now)
        if keyed:
            configuration = configs.EMPTY_CONFIGURATION._replace(customers=())
            self.keys.update_configuration(configuration)
        self.keys.record_read(99, facts.NO_ERA)
        host = deployments.Host('host-1', '10.0.0.1:7000', 'north')
        fact = facts.Fact(facts.Key(facts.Subject.HOST, host.name), 1, host)
        self.view = store_views.merge_report(
            store_views.create(7),
            facts.Report(1, (fact,), full=True, age=0),
            asyncio.get_running_loop().time(),
            returned_at=None,
        ).view
        self.reports: list[facts.Report] = []
        self.long_polls = long_polls.LongPolls(self._get_state, self.keys)

    def poll(self, keys_age_s: float | None) -> None:
        """Poll for changes after the current view."""
        query = {'after': report_codecs.encode_cursor(self.view.cursor)}
        if keys_age_s is not None:
            query[long_polls.KEYS_AGE_PARAMETER] = str(keys_age_s)
        self.long_polls.handle_poll(urllib.parse.urlencode(query), self._record)

    def _record(self, body: bytes) -> None:
        self.reports.append(report_codecs.decode_report(body))

    def _get_state(self) -> long_polls.StoreState:
        return long_polls.StoreState(self.view, store_lost=False)


def test_answers_a_stale_poll_at_once() -> None:
    """Guard against a host that stays stale while its peer is fresh."""

    async def check() -> None:
        rig = Rig()
        rig.poll(4)
        rig.poll(math.inf)
        proof = facts.Proof(-1, facts.NO_ERA)
        assert [it.proof for it in rig.reports] == [proof, proof]

    servers.run(check())


def test_holds_a_poll_until_a_fresher_proof() -> None:
    """Guard against fresh hosts that poll each other without a delay."""

    async def check() -> None:
        rig = Rig()
        rig.poll(1.1)
        rig.poll(None)
        rig.now += 0.6
        rig.long_polls.answer_stale()
        assert not rig.reports
        rig.keys.record_read(100.4, facts.NO_ERA)
        rig.long_polls.answer_stale()
        assert [it.proof for it in rig.reports] == [
            facts.Proof(0.4, facts.NO_ERA)
        ]
        rig.long_polls.answer_all()
        assert len(rig.reports) == 2

    servers.run(check())


def test_proves_nothing_without_customers() -> None:
    """Reports of deployments without customers stay unchanged."""

    async def check() -> None:
        rig = Rig(keyed=False)
        rig.poll(4)
        rig.poll(math.nan)
        assert not rig.reports
        rig.long_polls.answer_all()
        assert [it.proof for it in rig.reports] == [None, None]

    servers.run(check())
