"""Build the answers of a target, and corrupt or drop them on request."""

import asyncio
import json
import random
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import snapshots
from standins import catalogue, wire

OVERSIZE_BYTES: Final = 4 << 20
RETRY_AFTER_MS: Final = 50


class Behaviour(NamedTuple):
    """Hold how one target behaves, including its injected faults.

    `spoil` is one of cross, snapshot, shard, id, truncated, oversized and
    garbage; `drop` is before or after running. `share` is the fraction of
    answers that `spoil` and `drop` affect. `load` replaces the reported load.
    """

    median_ms: float = 12.0
    spread: float = 0.4
    straggle: float = 1.0
    slow_share: float = 0.0
    slow_ms: float = 200.0
    trickle_ms: float = 0.0
    spoil: str = ''
    drop: str = ''
    share: float = 1.0
    frozen: bool = False
    refuse: str = ''
    load: wire.Json | None = None


JobKey = tuple[str, int, int]


class Report(NamedTuple):
    """Hold the target status that an answer carries; the load is JSON text."""

    state: str
    health_version: int
    load: str


class Job(NamedTuple):
    """Hold one sub-request and the connection that its answer is sent on."""

    channel: wire.Channel
    search: wire.Json
    deadline: float

    @property
    def key(self) -> JobKey:
        """Return the key by which a cancellation names the sub-request."""
        return get_key(self.search)


def get_key(body: wire.Json) -> JobKey:
    """Return the key of a sub-request, from its body or its cancellation."""
    return body['request_id'], body['shard'], body['attempt']


def draws_fault(behaviour: Behaviour, rng: random.Random) -> bool:
    """Draw whether a fault affects this answer."""
    return rng.random() < behaviour.share


def draw_service_time_s(behaviour: Behaviour, rng: random.Random) -> float:
    """Draw the service time of one run, in seconds."""
    spread = rng.lognormvariate(0, behaviour.spread)
    service_ms = behaviour.median_ms * spread * behaviour.straggle
    if rng.random() < behaviour.slow_share:
        service_ms += behaviour.slow_ms
    return service_ms / 1000


def refuse(job: Job, reason: str, state: str, ran: str = 'no') -> None:
    """Send a refusal, which states whether the sub-request had started."""
    body = {
        'request_id': job.search['request_id'],
        'attempt': job.search['attempt'],
        'ran': ran,
        'state': state,
        'reason': reason,
        'retry_after_ms': RETRY_AFTER_MS,
    }
    job.channel.reply(503, json.dumps(body))


def build_body(job: Job, holding: snapshots.Holding, report: Report) -> str:
    """Build the body of an answer, embedding the cached JSON of the rows."""
    search = job.search
    query = search['query']
    if search.get('at_most_once'):
        receipt = {'id': f'receipt-{search["request_id"]}', 'rank': 0}
        rows = json.dumps([receipt])
    else:
        rows = catalogue.search(
            search['group'],
            holding.low,
            holding.high,
            holding.snapshot,
            str(query.get('text', '')),
            int(query.get('limit', 20)),
        )
    return (
        f'{{"request_id": "{search["request_id"]}", '
        f'"group": "{search["group"]}", "shard": {search["shard"]}, '
        f'"snapshot": {search["snapshot"]}, "attempt": {search["attempt"]}, '
        f'"rows": {rows}, "state": "{report.state}", '
        f'"health_version": {report.health_version}, '
        f'"load": {report.load}}}'
    )


def reply_spoiled(fault: str, job: Job, body: str, other_body: str) -> None:
    """Send a faulty answer; `other_body` is another request's answer."""
    answer = json.loads(body)
    match fault:
        case 'cross':
            body = other_body or body.replace(answer['request_id'], 'another')
        case 'snapshot' | 'shard':
            body = json.dumps({**answer, fault: answer[fault] + 1})
        case 'id':
            body = json.dumps({**answer, 'request_id': 'another'})
        case 'oversized':
            body = json.dumps({**answer, 'padding': 'x' * OVERSIZE_BYTES})
        case 'garbage':
            body = '{"rows": [}'
        case 'truncated':
            job.channel.write(
                wire.encode_response(200, body)[: -len(body) // 2]
            )
            job.channel.transport.close()
            return
    job.channel.reply(200, body)


def trickle(channel: wire.Channel, data: bytes, pause_s: float) -> None:
    """Send the data one byte at a time."""
    if data:
        channel.write(data[:1])
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, trickle, channel, data[1:], pause_s)
