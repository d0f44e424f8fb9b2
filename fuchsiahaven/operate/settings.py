"""Define the settings of one host, section by section.

Each section of the INI file is a named tuple here. Its fields are the keys,
with their types and bounds; a field without a default is required. The file is
parsed by `settings_reader`.
"""

import enum
from pathlib import Path
from typing import Annotated, Final, NamedTuple

from fuchsiahaven.core import addresses


class Bounds(NamedTuple):
    """Hold the inclusive bounds of a number."""

    low: float
    high: float


Count = Annotated[int, Bounds(1, 1_000_000)]
Bytes = Annotated[int, Bounds(64, 64 * 1024 * 1024)]
Milliseconds = Annotated[int, Bounds(1, 600_000)]
Seconds = Annotated[float, Bounds(0, 3600)]
Addresses = tuple[addresses.Address, ...]


class Verbosity(enum.StrEnum):
    """Enumerate the log levels."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Tls(NamedTuple):
    """Hold the files of one TLS identity; None where not used."""

    certificate: Path | None
    key: Path | None
    authority: Path | None


class Host(NamedTuple):
    """Identify this host.

    `processes` is the number of `serve` processes that share its ports.
    """

    name: str
    data_centre: str
    processes: Annotated[int, Bounds(1, 64)] = 1


class Callers(NamedTuple):
    """Configure the port for callers, and bound what they may send."""

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
    """Configure the port for other hosts of the system.

    Both sides need certificates of one authority, unless `allow_plain`.
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
    """Configure the metrics port; without one the caller port serves them."""

    address: addresses.Address | None = None


class Platform(NamedTuple):
    """Configure the client of the platform's service.

    The addresses are equivalent.
    """

    addresses: Addresses
    timeout_ms: Milliseconds = 500
    watch_s: Seconds = 10.0
    host_list_interval_s: Seconds = 5.0
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_authority: Path | None = None


class Targets(NamedTuple):
    """Bound connections to targets and their answers."""

    connect_timeout_ms: Milliseconds = 500
    probe_timeout_ms: Milliseconds = 500
    answer_bytes: Bytes = 1024 * 1024
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_authority: Path | None = None


class Limits(NamedTuple):
    """Configure a planned stop.

    The process accepts requests for another `balancer_lag_s`, until the load
    balancer has noticed. Then it refuses new work, and the work in progress
    has `drain_s` to finish.
    """

    balancer_lag_s: Seconds = 5.0
    drain_s: Seconds = 30.0


class Customers(NamedTuple):
    """Configure customers; the settings have to be equal on all hosts.

    A removed key is refused within `revoke_s`, also by hosts that have lost
    contact. None sets no bound.
    """

    revoke_s: Annotated[float, Bounds(1, 3600)] | None = None


class PolicyName(enum.StrEnum):
    """Enumerate the policies; those other than STANDARD are for comparison."""

    STANDARD = 'standard'
    BASELINE = 'baseline'


class Policy(NamedTuple):
    """Select a policy."""

    name: PolicyName = PolicyName.STANDARD


class Logs(NamedTuple):
    """Configure the log level, and whether lines are JSON."""

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


#: Keys whose files have to exist when a host starts.
FILE_KEYS: Final = ('tls_certificate', 'tls_key', 'tls_authority')
