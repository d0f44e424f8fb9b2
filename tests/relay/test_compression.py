"""Test the compression of messages between hosts."""

import json
import zlib

import pytest

from fuchsiahaven.platform import store
from fuchsiahaven.relay import compression, http_clients
from fuchsiahaven.routing import report_codecs
from tests.relay import clusters, servers

CHUNKS = (b'{"parts":[["a","1"]]}\n', b'{"parts":[]}\n', b'{"last":true}\n')
FACTS_PATH = '/v1/facts?after=0.0'


def test_decompresses_each_chunk_at_once() -> None:
    """Guard against parts that are delayed until the last one arrives.

    A compressor buffers its input unless it is flushed.
    """
    compressor = compression.Compressor()
    decompressor = compression.Decompressor()
    for chunk in CHUNKS:
        compressed = compressor.compress(chunk, last=chunk is CHUNKS[-1])
        assert decompressor.decompress(compressed) == chunk


def test_decompresses_bytes_split_anywhere() -> None:
    """The network may split a response anywhere."""
    compressor = compression.Compressor()
    compressed = b''.join(
        compressor.compress(chunk, last=False) for chunk in CHUNKS
    )
    decompressor = compression.Decompressor()
    decompressed = [
        decompressor.decompress(compressed[start : start + 1])
        for start in range(len(compressed))
    ]
    assert b''.join(decompressed) == b''.join(CHUNKS)


@pytest.mark.parametrize('encoded', [b'{"parts":[]}\n', b'\x78\x9c\xff\xff'])
def test_rejects_invalid_compressed_bytes(encoded: bytes) -> None:
    """Bytes that are declared but not compressed are malformed."""
    with pytest.raises(report_codecs.MalformedReport):
        compression.decompress(encoded)


def test_rejects_an_oversized_body() -> None:
    """Guard against a response of some kilobytes that exhausts the memory.

    Zeros compress to a thousandth, so a short response may decompress to
    gigabytes.
    """
    compressed = zlib.compress(bytes(compression.MAX_DECOMPRESSED_BYTES + 1))
    with pytest.raises(report_codecs.MalformedReport):
        compression.decompress(compressed)


def test_compresses_only_on_request() -> None:
    """A host of an earlier version gets plain JSON."""

    async def check() -> None:
        async with clusters.make() as cluster:
            host = await cluster.add_host('host-1')
            address = host.settings.host.address
            _, head, plain = await clusters.fetch(address, FACTS_PATH)
            assert 'content-encoding' not in head
            client = http_clients.Client(address)
            response = await client.call(
                store.Call('GET', FACTS_PATH),
                2.0,
                extra_fields=(compression.ACCEPT_FIELD,),
            )
            client.close()
            names = [
                sorted(fact['name'] for fact in json.loads(body)['facts'])
                for body in (plain, response.body)
            ]
            assert names[0] == names[1]
            assert names[0]

    servers.run(check())


def test_search_uses_a_helper_host() -> None:
    """All targets are in the south, so the host in the north delegates."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_host('host-1', 'north')
            far = await cluster.add_host('host-2', 'south')
            near = cluster.hosts[0]
            await servers.wait_for(lambda: near.router.host_count == 2)
            await servers.wait_for(lambda: far.router.host_count == 2)
            status, head, body = await clusters.fetch(
                near.settings.caller_address, '/search/1'
            )
            assert status == 200
            assert 'fuchsiahaven-missing-parts: 0' in head
            assert len(body) == 3 * 16
            assert near.metrics.outcomes['complete'] == 1
            helper = near.router.helper_health.get(far.settings.host.name)
            assert helper.stats.latency

    servers.run(check())
