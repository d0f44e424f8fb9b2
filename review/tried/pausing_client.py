"""A client pauses while it receives an answer of 36 kB, over a small window."""

import asyncio
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins  # noqa: E402

ANSWER_BYTES = 36_000
PAUSES_S = (0.2, 1.0, 2.0, 4.0)
#: Sizes of the client's receive buffer; 0 leaves it as the machine has it.
BUFFERS = (4_096, 16_384, 0)


async def fetch(host, request_id, pause_s, buffer, record):
    """Return whether the whole answer arrived."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    if buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    sock.connect((stand_ins.LOOPBACK, host.ports['front']))
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
    writer.write(stand_ins.encode_request('/export/a', request_id, 20_000))
    await asyncio.sleep(pause_s)
    received = 0
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(stand_ins.parse_head(head)[1]['content-length'])
        while received < length and (chunk := await reader.read(4096)):
            received += len(chunk)
    except (OSError, asyncio.IncompleteReadError) as error:
        record.note('broken', request_id, repr(error))
    writer.close()
    record.say(f'pause {pause_s} s, buffer {buffer}: {received} of {ANSWER_BYTES} bytes')
    return received == ANSWER_BYTES


async def case(record):
    async with stand_ins.Cluster(record) as cluster:
        cluster.put_configuration(
            [stand_ins.make_route('export', 'archive', timeout_ms=20_000)], ['archive']
        )
        for number in range(2):
            await cluster.add_server(
                stand_ins.Server(
                    f'i-{number}', 'archive', record, lambda it: (0.05, b'x' * ANSWER_BYTES)
                )
            )
        await cluster.start_hosts(2)
        await asyncio.sleep(4.5)
        results = await asyncio.gather(
            *[
                fetch(cluster.hosts[0], f'p{pause_s}-{buffer}', pause_s, buffer, record)
                for pause_s in PAUSES_S
                for buffer in BUFFERS
            ]
        )
        return 0 if all(results) else 1


stand_ins.run_case(case)
