"""Learn by a second way which keys are valid, where the first brings no word.

A host that asks one host for its news, or reads the store itself, may wait in
vain for seconds. Before it has to refuse requests with keys it asks others
for nothing but the configuration, or reads that alone.
"""

import asyncio
import collections
import random
import urllib.parse
from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import calls, decoders, journal, news, traffic
from fuchsiahaven.routing import (
    deployments,
    facts,
    freshness,
    report_codecs,
    sources,
)

PART: Final = 'keys'
PATH: Final = '/v1/keys'
VERSION: Final = 'version'
#: How often it is looked at whether a second way is needed, in seconds.
LOOK_S: Final = 0.5
#: The same where keys need not die in time.
IDLE_S: Final = 2.0
#: A try is given up after so many seconds; the next one asks somebody else.
ANSWER_S: Final = 0.3
#: The pause after each try in vain is longer by so many seconds, up to the
#: longest: mostly the store is away for all by then.
PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 0.5
#: How many hosts that were asked last are not asked again at once.
MOST_PASSED_OVER: Final = 8
AGE_DIGITS: Final = 2


class Confirmations:
    """Own the second way, and whether the host was stale when last seen."""

    def __init__(
        self,
        settings: deployments.Settings,
        known: news.News,
        keys: freshness.Freshness,
        log: journal.Journal,
        counted: traffic.Traffic,
    ) -> None:
        """Start without a connection."""
        self._host = settings.host
        self._news = known
        self._keys = keys
        self._log = log
        tally = counted.find(traffic.Kind.STORE, far=True)
        self.store = calls.Client(settings.store_address, tally)
        self._peers = calls.Clients(counted)
        self._decoder = decoders.Decoder(log)
        self._failures = 0
        self._passed_over = collections.deque[str](maxlen=MOST_PASSED_OVER)
        self._stale_since: float | None = None

    async def stay(self) -> None:
        """Keep the knowledge of keys fresh, for ever."""
        while True:
            await asyncio.sleep(await self._go_round())

    def close(self) -> None:
        """Close the connections."""
        self.store.close()
        self._peers.close()

    async def _go_round(self) -> float:
        """Try once if that is needed; return how long to pause."""
        self._tell_change()
        if self._keys.revoke_s is None:
            return IDLE_S
        calm = self._keys.compute_urgent_delay()
        if calm > 0:
            self._failures = 0
            return min(calm, LOOK_S)
        if await self._try():
            return 0.0
        self._failures += 1
        return min(LONGEST_PAUSE_S, PAUSE_S * self._failures)

    async def _try(self) -> bool:
        """Ask once; tell whether what is known is fresh by it."""
        hosts = facts.list_hosts(self._news.ledger)
        source = sources.choose_alternate(
            self._host, hosts, self._passed_over, random.random()
        )
        try:
            match source:
                case sources.Store():
                    await self._read_store()
                case sources.Peer(address):
                    self._passed_over.append(address)
                    await self._ask(address)
        except (
            calls.CallFailed,
            report_codecs.MalformedReport,
            records.MalformedError,
        ) as error:
            self._log.tell_request(
                PART, 'not confirmed', good=False, error=str(error)
            )
        return self._keys.compute_urgent_delay() > 0

    async def _read_store(self) -> None:
        """Read the configuration alone.

        Raises calls.CallFailed and records.Malformed.
        """
        left = self._keys.read_clock()
        done = await self.store.call(store.build_configuration_call(), ANSWER_S)
        if done.status != store.OK:
            raise calls.CallFailed(f'the store answers {done.status}')
        told = self._news.eras.read(done.fields)
        era = self._news.ledger.era if told is None else told
        fact = store.decode_item(done.body, era, self._decoder.decode)
        found = () if fact is None else (fact,)
        report = facts.Report(0, found, False, 0, era=era)
        if not self._news.take_configuration(report):
            raise calls.CallFailed(f'the store answers from its era {era}')
        self._keys.record_read(left, era)
        self._news.askers.tell_fresher()

    async def _ask(self, address: str) -> None:
        """Ask a host; raises calls.CallFailed and codecs.Malformed."""
        far = not sources.has_similar_prefix(self._host.address, address)
        client = self._peers.find(address, far=far)
        known = facts.get_configuration(self._news.ledger).version
        target = f'{PATH}?{urllib.parse.urlencode({VERSION: known})}'
        left = self._keys.read_clock()
        done = await client.call(
            store.Call('GET', target), ANSWER_S, connect_seconds=ANSWER_S
        )
        if done.status != store.OK:
            raise calls.CallFailed(f'{address} answers {done.status}')
        report = report_codecs.decode_report(done.body)
        if not self._news.take_configuration(report):
            raise calls.CallFailed(f'{address} tells of era {report.era}')
        self._keys.record_proof(left, report.proof, report.era)
        self._news.askers.tell_fresher()

    def _tell_change(self) -> None:
        """Log when requests with keys begin to be refused, and when it ends."""
        stale = self._keys.is_enforced and self._keys.compute_wait() > 0
        if stale == (self._stale_since is not None):
            return
        now = self._keys.read_clock()
        age = round(self._keys.compute_age(), AGE_DIGITS)
        if self._stale_since is None:
            self._stale_since = now
            self._log.tell(
                PART, 'stale', age=str(age), store_lost=self._news.lost
            )
            return
        lasted = round(now - self._stale_since, AGE_DIGITS)
        self._stale_since = None
        self._log.tell(PART, 'fresh again', age=str(age), lasted=lasted)


def tell(known: news.News, keys: freshness.Freshness, asked: str) -> bytes:
    """Write the answer to a host that asks for the configuration alone."""
    arrived = keys.read_clock()
    told = urllib.parse.parse_qs(asked).get(VERSION, ['0'])[0]
    version = int(told) if told.isdigit() else 0
    ledger = known.ledger
    found = [
        fact
        for fact in ledger.facts.values()
        if fact.key.subject is facts.Subject.CONFIGURATION
    ]
    if facts.get_configuration(ledger).version <= version:
        found = []
    report = facts.Report(0, tuple(found), False, 0, era=ledger.era)
    return report_codecs.encode_report(
        report._replace(proof=keys.make_proof(arrived))
    )
