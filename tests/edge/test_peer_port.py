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
from fuchsiahaven.core.members import (
    gossip_codecs,
    member_messages,
    members,
    patch_codecs,
)
from fuchsiahaven.edge import peer_client, peer_port, tls
from tests import certificates

MAX_BODY_BYTES = 10_000
OWN = members.Member('h1', '127.0.0.1:1', 1, members.Standing.ALIVE)
GOSSIP = member_messages.Gossip(OWN, 'Odori', patches.Stamp(3, 'ab'), 'cd')


class EchoHost:
    """Answer gossip with the same gossip."""

    def exchange_gossip(
        self, gossip: member_messages.Gossip
    ) -> member_messages.Gossip:
        """Answer gossip."""
        return gossip

    def handle_patches(
        self, message: patch_codecs.PatchMessage
    ) -> patches.Stamp:
        """Return a stamp made from the message."""
        return patches.Stamp(len(message.patches), message.sender)

    def list_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """Return no newer patches."""
        return ()

    def encode_proof(self) -> bytes:
        """Return an empty proof."""
        return b''

    def handle_claims(self, body: bytes) -> bytes | None:
        """Return the batch of claims."""
        return body

    def describe(self) -> Mapping[str, object]:
        """Return an empty description."""
        return {}


@contextlib.contextmanager
def serve(identity: tls.Identity | None) -> Iterator[str]:
    """Serve on a free port; yield the address."""
    application = peer_port.Application()
    application.attach('h1', EchoHost())
    own_address = addresses.Address('127.0.0.1', 0)
    server: wsgi.Server = peer_port.make_server(
        application, own_address, MAX_BODY_BYTES, identity
    )
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield f'127.0.0.1:{server.bind_addr[1]}'
    finally:
        server.stop()
        thread.join()


def send_gossip(
    identity: tls.Identity | None, address: str, body: bytes = b''
) -> bytes | None:
    """Send gossip and return the answer."""
    gossip = body or gossip_codecs.encode_gossip(GOSSIP)
    with contextlib.closing(
        peer_client.PeerClient(identity, MAX_BODY_BYTES)
    ) as client:
        return client.call(
            peer_client.Request('POST', address, '/v1/gossip', gossip, 5.0)
        )


class TlsFiles:
    """Hold the files of an authority and a host."""

    def __init__(self, folder: Path) -> None:
        """Write the files."""
        self.folder = folder
        self.authority = certificates.Authority(folder)
        pair = self.authority.issue(folder)
        self.files = tls.Files(*pair, self.authority.path)

    def load_for_server(self) -> tls.Identity:
        """Load the files for a server."""
        return tls.Identity(self.files, ssl.Purpose.CLIENT_AUTH)

    def load_for_client(self) -> tls.Identity:
        """Load the files for a client."""
        return tls.Identity(self.files, ssl.Purpose.SERVER_AUTH)


@pytest.fixture
def files(tmp_path: Path) -> TlsFiles:
    """Make the files of a host."""
    return TlsFiles(tmp_path)


def test_requires_certificates_on_both_sides(
    files: TlsFiles, tmp_path: Path
) -> None:
    """Refuse peers without a certificate of the authority."""
    other = certificates.Authority(tmp_path, 'other')
    untrusted = tls.Files(*other.issue(tmp_path, 'strange'), files.files[2])
    no_certificate = tls.Files(None, None, files.files[2])
    with serve(files.load_for_server()) as address:
        answer = send_gossip(files.load_for_client(), address)
        assert answer is not None
        assert gossip_codecs.decode_gossip(answer) == GOSSIP
        for refused in (untrusted, no_certificate):
            identity = tls.Identity(refused, ssl.Purpose.SERVER_AUTH)
            assert send_gossip(identity, address) is None
        assert send_gossip(None, address) is None
    with serve(None) as address:
        assert send_gossip(files.load_for_client(), address) is None


def test_serves_others_beside_a_silent_client(files: TlsFiles) -> None:
    """Serve other clients while one is connected and silent.

    Guards against a host that all members take for dead: a client connects
    to its peer port and never starts the handshake, which would block the
    thread that accepts connections.
    """
    with serve(files.load_for_server()) as address:
        host, _, port = address.rpartition(':')
        with socket.create_connection((host, int(port))):
            assert send_gossip(files.load_for_client(), address) is not None


def test_reloads_keys_without_closing_connections(
    files: TlsFiles,
) -> None:
    """Reload replaced files; keep the old context while they do not match.

    Guards against a change of keys that cuts requests or needs a restart:
    the context is never replaced, is replaced under open connections, or is
    loaded between the writes of key and certificate.
    """
    now = 0.0
    identity = tls.Identity(files.files, ssl.Purpose.CLIENT_AUTH, lambda: now)
    first = identity.current_context()
    client = peer_client.PeerClient(files.load_for_client(), MAX_BODY_BYTES)
    with serve(identity) as address, contextlib.closing(client):
        request = peer_client.Request('GET', address, '/v1/status')
        assert client.call(request) == b'{}'
        assert files.files.certificate is not None
        old_text = files.files.certificate.read_bytes()
        certificate, _ = files.authority.issue(files.folder)
        new_text = certificate.read_bytes()
        certificate.write_bytes(old_text)
        now += tls.CHECK_INTERVAL_S
        assert identity.current_context() is first
        certificate.write_bytes(new_text)
        now += tls.CHECK_INTERVAL_S
        assert identity.current_context() is not first
        assert client.call(request) == b'{}'
        assert send_gossip(files.load_for_client(), address) is not None


@pytest.mark.parametrize(
    'body',
    [
        b'{',
        b'[]',
        b'[' * MAX_BODY_BYTES,
        b'{"sender": ["h", "x:1", 1, "alive"]}',
        gossip_codecs.encode_gossip(
            GOSSIP._replace(sender=OWN._replace(address='evil:80'))
        ),
        gossip_codecs.encode_gossip(
            GOSSIP._replace(sender=OWN._replace(name='a\nb'))
        ),
        gossip_codecs.encode_gossip(
            GOSSIP._replace(sender=OWN._replace(incarnation=-1))
        ),
        gossip_codecs.encode_gossip(GOSSIP._replace(news=(OWN,) * 100)),
        b' ' * MAX_BODY_BYTES * 2,
    ],
)
def test_refuses_malformed_gossip(body: bytes) -> None:
    """Refuse malformed gossip and continue to serve."""
    with serve(None) as address:
        assert send_gossip(None, address, body) is None
        assert send_gossip(None, address) is not None
