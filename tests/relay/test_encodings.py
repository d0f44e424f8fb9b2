"""Test that what hosts send each other is compressed, and read again."""

import json
import zlib

import pytest

from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, encodings
from fuchsiahaven.routing import report_codecs
from tests.relay import peers, worlds

PIECES = (b'{"parts":[["a","1"]]}\n', b'{"parts":[]}\n', b'{"last":true}\n')
FACTS = '/v1/facts?after=0.0'


def test_gives_each_piece_as_soon_as_it_has_come() -> None:
    """Symptom: parts that are in wait in a buffer until the last one is.

    A compressor keeps what it was given until it has enough of it.
    """
    packer = encodings.Packer()
    unpacker = encodings.Unpacker()
    for piece in PIECES:
        packed = packer.pack(piece, last=piece is PIECES[-1])
        assert unpacker.unpack(packed) == piece


def test_reads_pieces_that_were_cut_anywhere() -> None:
    """The network cuts an answer where it likes."""
    packer = encodings.Packer()
    packed = b''.join(packer.pack(piece, last=False) for piece in PIECES)
    unpacker = encodings.Unpacker()
    found = [unpacker.unpack(packed[at : at + 1]) for at in range(len(packed))]
    assert b''.join(found) == b''.join(PIECES)


@pytest.mark.parametrize('fed', [b'{"parts":[]}\n', b'\x78\x9c\xff\xff'])
def test_refuses_what_is_not_compressed(fed: bytes) -> None:
    """Bytes that say they are compressed, and are not, are no answer."""
    with pytest.raises(report_codecs.MalformedReport):
        encodings.unpack(fed)


def test_refuses_what_would_fill_the_memory() -> None:
    """Symptom: a host is killed for its memory by an answer of some kilobytes.

    Zeros shrink to a thousandth, so a short answer may unpack to gigabytes.
    """
    packed = zlib.compress(bytes(encodings.MOST_BYTES + 1))
    with pytest.raises(report_codecs.MalformedReport):
        encodings.unpack(packed)


def test_compresses_only_for_those_that_take_it() -> None:
    """A host of an earlier version gets JSON that it can read."""

    async def check() -> None:
        async with worlds.make() as world:
            host = await world.add_host('host-1')
            address = host.settings.host.address
            _, head, plain = await worlds.fetch(address, FACTS)
            assert 'content-encoding' not in head
            client = calls.Client(address)
            done = await client.call(
                store.Call('GET', FACTS), 2.0, more=(encodings.ACCEPT,)
            )
            client.close()
            names = [
                sorted(fact['name'] for fact in json.loads(body)['facts'])
                for body in (plain, done.body)
            ]
            assert names[0] == names[1]
            assert names[0]

    peers.run(check())


def test_a_search_is_answered_with_the_help_of_another_host() -> None:
    """All targets are in the south, so a host of the north has them asked."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_host('host-1', 'north')
            far = await world.add_host('host-2', 'south')
            near = world.hosts[0]
            await peers.wait_for(lambda: near.desk.host_count == 2)
            await peers.wait_for(lambda: far.desk.host_count == 2)
            status, head, body = await worlds.fetch(
                near.settings.caller_address, '/search/1'
            )
            assert status == 200
            assert 'fuchsiahaven-missing-parts: 0' in head
            assert len(body) == 3 * 16
            assert near.meters.outcomes['complete'] == 1
            helper = near.desk.helper_health.get(far.settings.host.name)
            assert helper.stats.latency

    peers.run(check())
