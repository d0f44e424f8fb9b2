"""A version that raises `max_header_bytes` has no effect on kept connections."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import support_2 as support

ZONES = ['hall-quilicura', 'hall-maipu', 'hall-pudahuel']
DEADLINE_MS = 3000
CLIENTS = 24
#: `max_header_bytes` of the earlier and of the later version. The later one is
#: the figure of the site.
EARLIER_BYTES = 8192
LATER_BYTES = 16_384
#: A head between the two, which a link of 1 Mbit/s brings in segments.
FILL_BYTES = 12_000
SEGMENT_BYTES = 1400
SEGMENT_PAUSE_S = 0.01
CONFIG_APPLY_S = 3.0
#: Time between two requests of a client, far below `idle_timeout_ms`.
INTERVAL_S = 0.5
#: The rule counts more than 5 + one in 500 of all requests.
TOLERATED = 5
TOLERATED_FRACTION = 1 / 500


class Counts:
    """Count the requests, and those that were denied."""

    def __init__(self):
        self.sent = 0
        self.denied = 0


async def check(record, folder, trouble):
    """Return whether more proper requests were denied than are tolerated."""
    store = support.Store()
    await store.start()
    searchers = [
        support.Searcher(store, record, f'i-{it}', 'kafi81c', ZONES[it % 3])
        for it in range(6)
    ]
    for searcher in searchers:
        await searcher.start()
    put_version(store, record, 7, EARLIER_BYTES if trouble else LATER_BYTES)
    hosts = await support.start_hosts(record, folder, store, ZONES)
    counts = Counts()
    clients = [
        support.Client(record, f'c{it}', hosts[it % len(hosts)])
        for it in range(CLIENTS)
    ]
    try:
        await asyncio.sleep(support.STABLE_S + 1)
        for client in clients:
            await client.open()
        await send_rounds(clients, counts, 'before', 4, 0)
        if trouble:
            put_version(store, record, 9, LATER_BYTES)
        acknowledged = time.monotonic()
        # Small requests keep each connection in use.
        await send_rounds(clients, counts, 'between', 8, 0)
        waited = time.monotonic() - acknowledged
        record.write(f'{waited:.2f} s after the acknowledgement')
        if waited <= CONFIG_APPLY_S:
            raise RuntimeError('the version is not due yet')
        await send_rounds(clients, counts, 'long', 1, FILL_BYTES)
        await check_new_connections(record, hosts)
    finally:
        for client in clients:
            client.close()
        await support.end_hosts(hosts)
    bound = TOLERATED + TOLERATED_FRACTION * counts.sent
    record.write(
        f'{counts.denied} of {counts.sent} requests were denied; '
        f'{bound:.1f} are tolerated'
    )
    return counts.denied > bound


def put_version(store, record, version, header_bytes):
    """Write a version as the operator does; the store has accepted it then."""
    route = support.make_route('ficha-unica', '/timi402/', 'kafi81c')
    store.put_json(
        'op/config',
        support.make_configuration(
            version, [route], ['kafi81c'], max_header_bytes=header_bytes
        ),
    )
    record.write(
        f'version {version} with max_header_bytes {header_bytes} acknowledged'
    )


async def send_rounds(clients, counts, name, rounds, fill):
    """Have all clients send at intervals, each on its kept connection."""
    for number in range(rounds):
        await asyncio.gather(
            *[
                send(it, counts, f'{it.name}-{name}-{number}', fill)
                for it in clients
            ]
        )
        await asyncio.sleep(INTERVAL_S)


async def send(client, counts, request_id, fill):
    """Send one request and count its answer."""
    head = make_head(request_id, fill)
    client.record.write(
        f'sends {request_id} to {client.host.name}, {len(head)} bytes of head'
    )
    answering = asyncio.create_task(client.read_answer(DEADLINE_MS / 1000))
    for start in range(0, len(head), SEGMENT_BYTES):
        # A client that is answered before its request is out stops sending.
        if not answering.done():
            client.writer.write(head[start : start + SEGMENT_BYTES])
            await asyncio.sleep(SEGMENT_PAUSE_S)
    status, fields, _ = await answering
    counts.sent += 1
    client.record.write(
        f'answer to {request_id}: status {status} {fields.get("error", "")}'
    )
    is_own = 'fuchsiahaven-response-signature' not in fields
    if 300 <= status < 500 and status not in {408, 421, 429} and is_own:
        counts.denied += 1


def make_head(request_id, fill):
    """Return the head of a request, with `fill` bytes in a field if not 0."""
    extra = [f'X-Filter: {"a" * fill}'] if fill else []
    return support.make_head(
        'GET', '/timi402/2f', request_id, DEADLINE_MS, *extra
    )


async def check_new_connections(record, hosts):
    """Check that the hosts accept the long head on new connections."""
    counts = Counts()
    clients = [
        support.Client(record, f'n{it}', hosts[it % len(hosts)])
        for it in range(6)
    ]
    for client in clients:
        await client.open()
    await send_rounds(clients, counts, 'new', 1, FILL_BYTES)
    for client in clients:
        client.close()
    record.write(
        f'on new connections {counts.denied} of {counts.sent} were denied'
    )
    if counts.denied:
        raise RuntimeError('the version is not in force on new connections')


if __name__ == '__main__':
    sys.exit(support.run_case(check, Path(__file__).parent))
