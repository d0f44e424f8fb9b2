"""Read the platform's host list: the only adapter for it.

The list lags, so a host's entry is only one signal among others.
"""

from typing import NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import store, store_answers


class EntryHost(NamedTuple):
    """Hold a listed entry host; its address is `ip:port`."""

    name: str
    address: str
    data_centre: str
    leaving: bool


class HostListing(NamedTuple):
    """Hold one reading of the list: targets as an event, entry hosts.

    `age_s` is the age of the list according to the platform, in seconds.
    """

    targets: messages.HostListRead
    entry_hosts: tuple[EntryHost, ...]
    age_s: float


def read_host_list(platform: store.Store) -> HostListing:
    """Read the list once. Raises store.StoreUnavailable."""
    answer = platform.list_hosts()
    targets = [
        host
        for host in answer.hosts
        if host.kind is store_answers.HostKind.TARGET
    ]
    entries = tuple(
        EntryHost(host.name, host.address, host.data_centre, host.leaving)
        for host in answer.hosts
        if host.kind is store_answers.HostKind.ENTRY
    )
    event = messages.HostListRead(
        leaving=frozenset(host.name for host in targets if host.leaving),
        live=frozenset(host.name for host in targets if not host.leaving),
    )
    return HostListing(event, entries, answer.age_s)
