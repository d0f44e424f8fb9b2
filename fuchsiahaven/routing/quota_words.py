"""Define what hosts tell each other of how much customers have used."""

import enum
from typing import NamedTuple


class Purpose(enum.StrEnum):
    """Say why a host tells a counter of its admissions."""

    REPORT = 'report'
    ASK = 'ask'
    VOTE = 'vote'


class Admission(NamedTuple):
    """Hold one admission: its number at its host, its age in seconds."""

    number: int
    age: float


class Usage(NamedTuple):
    """Tell a counter all that a host admitted in the last window.

    `start` tells apart the starts of a host, `serial` grows with each of its
    words. `wanted` are the requests that wait for a word. An ASK is for the
    request `about`, a VOTE for the call `about`. The counter `first` is to
    answer a REPORT, with `lost` it is silent or lacks the votes. `limit` is the
    quota that the host knows.
    """

    purpose: Purpose
    customer: str
    host: str
    start: int
    serial: int
    limit: float
    admitted: tuple[Admission, ...]
    wanted: tuple[int, ...] = ()
    about: int = 0
    first: str = ''
    lost: bool = False


class Verdict(NamedTuple):
    """Answer a host about a customer.

    A counter that is `sure` answers for all hosts; the others may give a few
    tokens where no other answer comes. `wait` is how many seconds until there
    is room. With `asking` hosts are to ask before they admit.
    """

    customer: str
    host: str
    serial: int
    about: int
    granted: bool
    sure: bool
    counted: int
    limit: float
    wait: float
    asking: bool


class Call(NamedTuple):
    """Ask voters for their votes for a lease of so many seconds."""

    customer: str
    host: str
    number: int
    lease: float


class Alert(NamedTuple):
    """Tell all hosts to ask before they admit, or that they need not."""

    customer: str
    host: str
    asking: bool


Word = Usage | Verdict | Call | Alert


class Heard(NamedTuple):
    """Bring a word of another host, from its address."""

    word: Word
    sender: str


class Tell(NamedTuple):
    """Send a word to another host's address."""

    word: Word
    address: str


class Refusal(NamedTuple):
    """Tell that a request was refused, for the log.

    `counted` of `limit` were used by the word of `counter`, which was `age`
    seconds old; without a word `counter` is empty. Times are in seconds.
    """

    customer: str
    request_id: str
    limit: float
    counted: int
    counter: str
    age: float
    took: float
    wait: float
