"""Define the messages between hosts about customers' quotas."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Ask the holder of a slot for tokens of a customer.

    `number` is unique within the start of the sender's process that `start_id`
    identifies. One of the `wanted` tokens is needed at once, the others are
    prefetched.
    """

    customer: str
    slot: int
    number: int
    start_id: int
    wanted: int


class TokenReply(NamedTuple):
    """Reply with the tokens granted, or in how many seconds to ask again."""

    number: int
    start_id: int
    granted: int
    wait: float


Message = TokenRequest | TokenReply


class MessageReceived(NamedTuple):
    """A message of the host at an address (`ip:port`) has been received."""

    message: Message
    sender: str


class SendMessage(NamedTuple):
    """Send a message to the host at an address (`ip:port`)."""

    message: Message
    address: str
