"""Push patches to members and pull them over the peer port."""

from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import json_texts
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.configuration import revision_messages as messages
from fuchsiahaven.core.members import patch_codecs
from fuchsiahaven.edge import peer_client

PATH: Final = '/v1/configuration'
PUSH_TIMEOUT_S: Final = 1.0
#: The answer may hold a whole configuration.
PULL_TIMEOUT_S: Final = 10.0


class PatchClient:
    """Push to and pull from members; each call has a time limit."""

    def __init__(
        self,
        name: str,
        client: peer_client.PeerClient,
        find_address: Callable[[str], str | None],
    ) -> None:
        """Call on behalf of the member `name`."""
        self._name = name
        self._client = client
        self._find_address = find_address

    def push_patch(
        self, member: str, patch: patches.Patch
    ) -> messages.MemberUnreachable | messages.StampReceived:
        """Send a patch; return the stamp the member had in force."""
        body = patch_codecs.encode_patches(
            patch_codecs.PatchMessage(self._name, (patch,))
        )
        answer = self._call('POST', member, PATH, body, PUSH_TIMEOUT_S)
        stamp = None if answer is None else _decode_stamp(answer)
        if stamp is None:
            return messages.MemberUnreachable(member, patch)
        return messages.StampReceived(member, stamp)

    def pull_patches(
        self, member: str, above: patches.Stamp
    ) -> messages.MemberUnreachable | messages.PullAnswered:
        """Fetch the patches that a member has above a stamp."""
        path = f'{PATH}?above={above.revision}&digest={above.digest}'
        answer = self._call('GET', member, path, b'', PULL_TIMEOUT_S)
        if answer is None:
            return messages.MemberUnreachable(member)
        if not answer:
            return messages.PullAnswered(member, ())
        message = patch_codecs.decode_patches(answer)
        if message is None:
            return messages.MemberUnreachable(member)
        return messages.PullAnswered(member, message.patches)

    def _call(
        self,
        method: str,
        member: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> bytes | None:
        address = self._find_address(member)
        if address is None:
            return None
        return self._client.call(
            peer_client.Request(method, address, path, body, timeout_s)
        )


def _decode_stamp(answer: bytes) -> patches.Stamp | None:
    try:
        fields = json_texts.load(answer)
        return patches.Stamp(int(fields['revision']), str(fields['digest']))
    except (ValueError, TypeError, KeyError):
        return None
