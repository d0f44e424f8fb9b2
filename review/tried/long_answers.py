"""SIGTERM while a client is still receiving an answer that has been relayed."""

import asyncio
import hashlib
import os
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ANSWER_BYTES = 2_000_000
#: The client's link carries 3 Mbit/s, so an answer takes 5.4 s.
CLIENT_BYTES_PER_S = 370_000
DEADLINE_MS = 20_000
GRACE_S = 6.0


def make_body(request_id):
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (ANSWER_BYTES // len(block) + 1))[:ANSWER_BYTES]


async def fetch(host, request_id, record):
    """Read one answer at the rate of the client's link; return why it is bad."""
    sock = socket.socket()
    # The packets and windows of a usual network, not those of loopback.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    sock.connect((stand_ins.LOOPBACK, host.ports['front']))
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock, limit=4_096)
    began = time.monotonic()
    writer.write(stand_ins.encode_request('/export/a', request_id, DEADLINE_MS))
    record.note('sent', request_id, host.name)
    received = b''
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        line, fields = stand_ins.parse_head(head)
        length = int(fields['content-length'])
        record.note('head', request_id, line, 'content-length', length)
        while len(received) < length:
            chunk = await reader.read(4_096)
            if not chunk:
                break
            received += chunk
            due = began + len(received) / CLIENT_BYTES_PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))
    except (OSError, asyncio.IncompleteReadError) as error:
        record.note('broken', request_id, repr(error))
        length = ANSWER_BYTES
    writer.close()
    took = time.monotonic() - began
    record.note('ended', request_id, f'{len(received)} of {length} bytes after {took:.2f} s')
    return received == make_body(request_id)


async def case(record):
    async with stand_ins.Cluster(record) as cluster:
        cluster.put_configuration(
            [stand_ins.make_route('export', 'archive', timeout_ms=20_000)], ['archive']
        )
        for number in range(2):
            await cluster.add_server(
                stand_ins.Server(f'i-{number}', 'archive', record, lambda it: (0.05, make_body(it)))
            )
        await cluster.start_hosts(2)
        await asyncio.sleep(4.5)
        host = cluster.hosts[0]
        requests = [
            asyncio.create_task(fetch(host, f'r{number:015d}', record)) for number in range(4)
        ]
        await asyncio.sleep(0.3)
        if TROUBLE:
            host.send_signal(signal.SIGTERM)
            began = time.monotonic()
            await asyncio.to_thread(host.process.wait)
            record.say(f'{host.name} ended, exit code {host.process.returncode}, {time.monotonic() - began:.2f} s after SIGTERM,'
                       f' grace_s is {GRACE_S}')
        results = await asyncio.gather(*requests)
        record.say(f'{results.count(True)} of {len(results)} answers were whole')
        return 0 if all(results) else 1


stand_ins.run_case(case)
