"""Define what hosts tell each other about customers' quotas."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Ask the holder of a slot for tokens of a customer.

    `number` is the asker's own, of the start of its process that `start` names;
    one of the `wanted` tokens is needed now.
    """

    customer: str
    slot: int
    number: int
    start_id: int
    wanted: int


class TokenReply(NamedTuple):
    """Answer an ask: how many tokens, or in how many seconds to come back."""

    number: int
    start_id: int
    granted: int
    wait: float


Message = TokenRequest | TokenReply


class MessageReceived(NamedTuple):
    """Bring a word of the host at an address (`ip:port`)."""

    message: Message
    sender: str


class SendMessage(NamedTuple):
    """Ask for a word to be sent to the host at an address (`ip:port`)."""

    message: Message
    address: str
