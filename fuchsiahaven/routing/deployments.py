"""Hold what a host knows of itself and of the others from the start."""

from typing import Final, NamedTuple

#: The time in which configurations are in force with the usual pauses.
DEFAULT_APPLY_S: Final = 3.0


#: The capacity of a host that tells of none.
UNKNOWN_CAPACITY: Final = 0.0


class Host(NamedTuple):
    """Name a host, where other hosts reach it (`ip:port`), its data centre.

    `capacity` is what it can do, in cores, as it tells others, UNTOLD if it
    does not. Two of the same
    name are the same host, whatever each says of that: hosts of the version
    before pass entries on without it.
    """

    name: str
    address: str
    data_centre: str
    capacity: float = UNKNOWN_CAPACITY


class Evacuation(NamedTuple):
    """Order that nothing more be sent to the targets of a data centre."""

    data_centre: str


class ExtraLoadLimit(NamedTuple):
    """Bound repeated arrivals at a service, over all hosts together.

    In any stretch of `window` seconds at most `share` of the requests for the
    service plus `slack` may arrive beyond the first of each request.
    """

    fraction: float
    slack: float
    window_s: float


class WarmUpLimit(NamedTuple):
    """Bound the requests to a cold target, over all hosts together.

    In any second it may get `overage` times the rate that its service names,
    and `slack` requests more.
    """

    overage: float
    slack: float


class QuotaTolerance(NamedTuple):
    """Say by how much customers' requests may exceed their limit, over all.

    In any stretch of `window` seconds a customer may have what its rate and
    burst allow, a share `overage` of that more, and `slack` requests more.
    """

    window_s: float
    overage: float
    slack: float


class Settings(NamedTuple):
    """Hold what the platform tells a process at its start.

    Addresses are `ip:port`, times in seconds. `data_centres` are all of the
    deployment. `heartbeat` is how often a target renews its entry, `grace`
    the time from the signal to stop to the kill, `link` the bytes a second
    that the host's own link carries (0 if that is not told). `warm_up` is None
    where no bound on cold targets is told. `first_start` tells that the whole
    system starts for the first time. `store_writes` is how many writes a
    second the store takes of all hosts together, `apply` the time within which
    an accepted configuration is to be in force. `quota` is None where customers
    have none; a key that was taken away is to be dead within `revoke` seconds
    on hosts out of touch too, None where it need not.
    """

    host: Host
    data_centres: tuple[str, ...]
    caller_address: str
    readiness_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    store_address: str
    extra_load: ExtraLoadLimit
    heartbeat_s: float
    grace_s: float
    link_bytes_per_s: float = 0.0
    warm_up: WarmUpLimit | None = None
    first_start: bool = False
    store_writes_per_s: float = 400.0
    apply_s: float = DEFAULT_APPLY_S
    quota: QuotaTolerance | None = None
    revoke_s: float | None = None

    @property
    def delay_factor(self) -> float:
        """Return the share of the usual times that news may take."""
        return min(1.0, self.apply_s / DEFAULT_APPLY_S)
