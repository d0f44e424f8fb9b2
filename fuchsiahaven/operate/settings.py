"""Define the settings of one host, section by section.

Each section of the INI file is a named tuple here: its fields are the keys,
their types and bounds say what is expected, and a field without a default is
required. `settings_reader` does the reading.
"""

import enum
from pathlib import Path
from typing import Annotated, Final, NamedTuple

from fuchsiahaven.core import addresses


class Bounds(NamedTuple):
    """Bound a number, both ends included."""

    low: float
    high: float


Count = Annotated[int, Bounds(1, 1_000_000)]
Bytes = Annotated[int, Bounds(64, 64 * 1024 * 1024)]
Milliseconds = Annotated[int, Bounds(1, 600_000)]
Seconds = Annotated[float, Bounds(0, 3600)]
Addresses = tuple[addresses.Address, ...]


class Verbosity(enum.StrEnum):
    """List how much is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Tls(NamedTuple):
    """Name the files of one TLS identity; None where not used."""

    certificate: Path | None
    key: Path | None
    authority: Path | None


class Host(NamedTuple):
    """Say which host this is.

    `processes` counts the `serve` processes that share this host's ports.
    """

    name: str
    data_centre: str
    processes: Annotated[int, Bounds(1, 64)] = 1


class Callers(NamedTuple):
    """Bound what callers may send, and say where they send it."""

    address: addresses.Address
    threads: Annotated[int, Bounds(1, 1024)] = 256
    listen_queue: Count = 1024
    body_bytes: Bytes = 64 * 1024
    header_bytes: Bytes = 8 * 1024
    body_depth: Annotated[int, Bounds(1, 64)] = 8
    body_items: Count = 1000
    read_timeout_ms: Milliseconds = 2000
    idle_timeout_s: Seconds = 60.0
    tls_certificate: Path | None = None
    tls_key: Path | None = None


class Peers(NamedTuple):
    """Say where other hosts of the system talk to this one.

    Both sides show certificates of one authority, unless `allow_plain`.
    """

    address: addresses.Address
    seeds: Addresses = ()
    interval_ms: Milliseconds = 1000
    timeout_ms: Milliseconds = 500
    body_bytes: Bytes = 4 * 1024 * 1024
    allow_plain: bool = False
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_authority: Path | None = None


class Metrics(NamedTuple):
    """Say where metrics are read; None serves them to callers alone."""

    address: addresses.Address | None = None


class Platform(NamedTuple):
    """Say where the platform's service answers, any address alike."""

    addresses: Addresses
    timeout_ms: Milliseconds = 500
    watch_s: Seconds = 10.0
    host_list_interval_s: Seconds = 5.0
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_authority: Path | None = None


class Targets(NamedTuple):
    """Bound the exchange with targets."""

    connect_timeout_ms: Milliseconds = 500
    probe_timeout_ms: Milliseconds = 500
    answer_bytes: Bytes = 1024 * 1024
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_authority: Path | None = None


class Limits(NamedTuple):
    """Bound the work that one process takes on, and how long it stops.

    A planned stop answers `balancer_lag_s` longer, then refuses new work and
    gives what runs at most `drain_s`.
    """

    balancer_lag_s: Seconds = 5.0
    drain_s: Seconds = 30.0


class Customers(NamedTuple):
    """Bound what holds for customers on all hosts; alike on all of them.

    A key that was taken away is dead within `revoke_s` on hosts out of touch
    too; without it nothing bounds that.
    """

    revoke_s: Annotated[float, Bounds(1, 3600)] | None = None


class PolicyName(enum.StrEnum):
    """List the bundles of decisions; all but the first are to compare with."""

    STANDARD = 'standard'
    BASELINE = 'baseline'


class Policy(NamedTuple):
    """Choose a bundle of decisions."""

    name: PolicyName = PolicyName.STANDARD


class Logs(NamedTuple):
    """Say what is logged, and whether as lines of JSON."""

    verbosity: Verbosity = Verbosity.INFO
    json: bool = False


class Settings(NamedTuple):
    """Hold all settings of one host; each field is a section."""

    host: Host
    callers: Callers
    peers: Peers
    platform: Platform
    metrics: Metrics = Metrics()
    targets: Targets = Targets()
    limits: Limits = Limits()
    customers: Customers = Customers()
    policy: Policy = Policy()
    logs: Logs = Logs()


#: The keys that name files, which have to exist where a host starts.
FILE_KEYS: Final = ('tls_certificate', 'tls_key', 'tls_authority')
