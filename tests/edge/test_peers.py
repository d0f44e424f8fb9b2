"""Test the peer port and its TLS over loopback."""

import contextlib
import socket
import ssl
import threading
from collections.abc import Iterator, Mapping
from pathlib import Path

import pytest
from cheroot import wsgi

from fuchsiahaven.core import addresses
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import gossip_codecs as rows
from fuchsiahaven.core.members import member_messages, members, patch_codecs
from fuchsiahaven.edge import peer_calls, peers, tls
from tests import certificates

LIMIT = 10_000
OWN = members.Member('h1', '127.0.0.1:1', 1, members.Standing.ALIVE)
GOSSIP = member_messages.Gossip(OWN, 'Odori', patches.Stamp(3, 'ab'), 'cd')


class Host:
    """Answer gossip with what was told, and nothing else."""

    def exchange(
        self, gossip: member_messages.Gossip
    ) -> member_messages.Gossip:
        """Answer gossip."""
        return gossip

    def take_patches(self, parcel: patch_codecs.PatchMessage) -> patches.Stamp:
        """Take patches."""
        return patches.Stamp(len(parcel.patches), parcel.sender)

    def find_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """Have nothing newer."""
        return ()

    def prove(self) -> bytes:
        """Prove nothing."""
        return b''

    def take_claims(self, body: bytes) -> bytes | None:
        """Answer claims."""
        return body

    def describe(self) -> Mapping[str, object]:
        """Describe nothing."""
        return {}


@contextlib.contextmanager
def serve(identity: tls.Identity | None) -> Iterator[str]:
    """Serve on a free port; give the address."""
    application = peers.Application()
    application.attach('h1', Host())
    place = addresses.Address('127.0.0.1', 0)
    server: wsgi.Server = peers.make_server(application, place, LIMIT, identity)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield f'127.0.0.1:{server.bind_addr[1]}'
    finally:
        server.stop()
        thread.join()


def call(
    identity: tls.Identity | None, address: str, body: bytes = b''
) -> bytes | None:
    """Send gossip once."""
    told = body or rows.encode_gossip(GOSSIP)
    with contextlib.closing(peer_calls.Caller(identity, LIMIT)) as caller:
        return caller.call(
            peer_calls.Request('POST', address, '/v1/gossip', told, 5.0)
        )


class Files:
    """Hold the files of one authority and one host."""

    def __init__(self, folder: Path) -> None:
        """Write them."""
        self.folder = folder
        self.authority = certificates.Authority(folder)
        pair = self.authority.issue(folder)
        self.files = tls.Files(*pair, self.authority.path)

    def serve(self) -> tls.Identity:
        """Load them for a server."""
        return tls.Identity(self.files, ssl.Purpose.CLIENT_AUTH)

    def call(self) -> tls.Identity:
        """Load them for a caller."""
        return tls.Identity(self.files, ssl.Purpose.SERVER_AUTH)


@pytest.fixture
def files(tmp_path: Path) -> Files:
    """Make the files of one host."""
    return Files(tmp_path)


def test_both_sides_need_a_certificate(files: Files, tmp_path: Path) -> None:
    """Refuse whoever shows no certificate of the authority."""
    other = certificates.Authority(tmp_path, 'other')
    strange = tls.Files(*other.issue(tmp_path, 'strange'), files.files[2])
    nobody = tls.Files(None, None, files.files[2])
    with serve(files.serve()) as address:
        answer = call(files.call(), address)
        assert answer is not None
        assert rows.decode_gossip(answer) == GOSSIP
        for refused in (strange, nobody):
            identity = tls.Identity(refused, ssl.Purpose.SERVER_AUTH)
            assert call(identity, address) is None
        assert call(None, address) is None
    with serve(None) as address:
        assert call(files.call(), address) is None


def test_silent_client_keeps_nobody_out(files: Files) -> None:
    """Answer others while one has connected and says nothing.

    Symptom: all members hold a host for dead. Sequence: something connects
    to its peer port and never begins the handshake. Cause: handshakes done
    one after the other where connections are accepted.
    """
    with serve(files.serve()) as address:
        host, _, port = address.rpartition(':')
        with socket.create_connection((host, int(port))):
            assert call(files.call(), address) is not None


def test_new_keys_are_taken_up_without_cutting_a_connection(
    files: Files,
) -> None:
    """Follow replaced files, and keep what works while they do not fit.

    Symptom: a change of keys cuts requests, or waits for a restart. Cause:
    one context for the life of the process, or one that is swapped under
    open connections, or a look between the writes of key and certificate.
    """
    now = 0.0
    identity = tls.Identity(files.files, ssl.Purpose.CLIENT_AUTH, lambda: now)
    first = identity.context()
    caller = peer_calls.Caller(files.call(), LIMIT)
    with serve(identity) as address, contextlib.closing(caller):
        request = peer_calls.Request('GET', address, '/v1/status')
        assert caller.call(request) == b'{}'
        assert files.files.certificate is not None
        kept = files.files.certificate.read_bytes()
        certificate, _ = files.authority.issue(files.folder)
        fresh = certificate.read_bytes()
        certificate.write_bytes(kept)
        now += tls.LOOK_S
        assert identity.context() is first
        certificate.write_bytes(fresh)
        now += tls.LOOK_S
        assert identity.context() is not first
        assert caller.call(request) == b'{}'
        assert call(files.call(), address) is not None


@pytest.mark.parametrize(
    'body',
    [
        b'{',
        b'[]',
        b'[' * LIMIT,
        b'{"sender": ["h", "x:1", 1, "alive"]}',
        rows.encode_gossip(
            GOSSIP._replace(sender=OWN._replace(address='evil:80'))
        ),
        rows.encode_gossip(GOSSIP._replace(sender=OWN._replace(name='a\nb'))),
        rows.encode_gossip(
            GOSSIP._replace(sender=OWN._replace(incarnation=-1))
        ),
        rows.encode_gossip(GOSSIP._replace(news=(OWN,) * 100)),
        b' ' * LIMIT * 2,
    ],
)
def test_garbage_is_refused(body: bytes) -> None:
    """Refuse what has not the shape of gossip, and go on serving."""
    with serve(None) as address:
        assert call(None, address, body) is None
        assert call(None, address) is not None
