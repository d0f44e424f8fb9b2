"""Define what hosts tell each other about customers' quotas."""

from typing import NamedTuple


class Ask(NamedTuple):
    """Ask the holder of a slot for tokens of a customer.

    `number` is the asker's own, of the start of its process that `start` names;
    one of the `wanted` tokens is needed now.
    """

    customer: str
    slot: int
    number: int
    start: int
    wanted: int


class Verdict(NamedTuple):
    """Answer an ask: how many tokens, or in how many seconds to come back."""

    number: int
    start: int
    granted: int
    wait: float


Word = Ask | Verdict


class Heard(NamedTuple):
    """Bring a word of the host at an address (`ip:port`)."""

    word: Word
    sender: str


class Tell(NamedTuple):
    """Ask for a word to be sent to the host at an address (`ip:port`)."""

    word: Word
    address: str
