"""Define hosts, and the settings of the deployment that a host starts with."""

from typing import Final, NamedTuple

#: Time in which a configuration is in force with the default delays.
DEFAULT_APPLY_S: Final = 3.0


#: Capacity of a host that reports none.
UNKNOWN_CAPACITY: Final = 0.0


class Host(NamedTuple):
    """Hold a host's name, its address for other hosts (`ip:port`), data centre.

    `capacity` is the host's reported capacity in cores, UNKNOWN_CAPACITY if it
    reports none. Two entries of the same name are of the same host, whatever
    their capacities: hosts of the previous version pass entries on without it.
    """

    name: str
    address: str
    data_centre: str
    capacity: float = UNKNOWN_CAPACITY


class Evacuation(NamedTuple):
    """Forbid sending anything to the targets of a data centre."""

    data_centre: str


class ExtraLoadLimit(NamedTuple):
    """Bound the extra load on a service, over all hosts together.

    In any stretch of `window_s` seconds at most `fraction` of the requests for
    the service plus `slack` may arrive beyond the first attempt of each
    request.
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
    """Bound by how much customers may exceed their quota, over all hosts.

    In any stretch of `window_s` seconds a customer may send what its rate and
    burst allow, a fraction `overage` of that more, and `slack` requests more.
    """

    window_s: float
    overage: float
    slack: float


class Settings(NamedTuple):
    """Hold the settings that the platform passes to a process at its start.

    Addresses are `ip:port`, times in seconds. `data_centres` are all of the
    deployment. `heartbeat_s` is the interval in which a target renews its
    entry, `grace_s` the time from the signal to stop to the kill,
    `link_bytes_per_s` the capacity of the host's own link (0 if unknown).
    `warm_up` is None if requests to cold targets are not bounded. `first_start`
    is set if the whole system starts for the first time. `store_writes_per_s`
    is how many writes a second the store accepts from all hosts together,
    `apply_s` the time within which an accepted configuration is to be in force.
    `quota` is None if customers have no quotas. A revoked key is to be rejected
    within `revoke_s` seconds, also on hosts that are cut off; None if there is
    no such bound.
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
        """Return the fraction of the default delays that updates may take."""
        return min(1.0, self.apply_s / DEFAULT_APPLY_S)
