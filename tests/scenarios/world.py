"""Simulate several hosts with fake targets and a scripted clock.

The state machines, and the adapters that encode and decode bytes, are the
real ones; connections, threads and clocks are replaced.
"""

import itertools
import json
import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core import request_ids
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    proposals,
    transactions,
)
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import config_client
from standins import platform
from tests.core import networks
from tests.scenarios import fakes, hosts, pools

PLATFORM: Final = 'the platform'
#: The site of operators and callers.
OPERATOR_SITE: Final = 'the office'
TICK_INTERVAL_S: Final = 0.01
HOST_LIST_INTERVAL_S: Final = 2.0
SETTLE_TIME_S: Final = 6.0


class SubmittedQuery(NamedTuple):
    """Record one request of a caller."""

    token: int
    host: hosts.Host
    query: messages.Query
    request_class: configurations.RequestClass


class ReceivedReply(NamedTuple):
    """Record one reply and when it was sent."""

    reply: messages.Reply
    sent_at: float


class World:
    """Own the hosts, the targets, the platform and the clock."""

    def __init__(self) -> None:
        """Start without hosts or targets."""
        self.clock = networks.Network(0)
        self.clock.is_cut = self.is_cut
        self.clock.notify = lambda name, event: self.hosts[
            name
        ].handle_member_event(event)
        self.platform = platform.Platform(lambda: self.clock.now)
        self.configuration = configurations.Configuration(0)
        self.targets: dict[str, fakes.Target] = {}
        self.hosts: dict[str, hosts.Host] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.lost_targets: set[str] = set()
        #: Hosts that have been paused, whose replies may be late.
        self.once_paused: set[str] = set()
        self.request_ids: dict[str, str] = {}
        self.outcomes: dict[str, transactions.Outcome] = {}
        self.submitted: list[SubmittedQuery] = []
        self.replies: dict[int, list[ReceivedReply]] = {}
        self.operator_pool = pools.PlatformPool(
            self.platform, lambda: self.is_cut(OPERATOR_SITE, PLATFORM)
        )
        self._store = pools.open_store(self.operator_pool, self.clock)
        self._locations: dict[str, str] = {
            PLATFORM: PLATFORM,
            OPERATOR_SITE: OPERATOR_SITE,
        }
        self._settled_at = 0.0
        self._counter = itertools.count(1)
        self._rng = random.Random(1)
        self._tick()
        self._read_host_lists()

    def add_group(
        self, name: str, count: int, shards: int, data_centre: str
    ) -> None:
        """Add targets that hold snapshot 1 to a group, which may be new."""
        groups = {group.name: group for group in self.configuration.groups}
        group = groups.get(name) or configurations.Group(
            name, (('kind', name),), ()
        )
        first = len(group.targets)
        port = len(self.targets) + 1
        added = tuple(
            configurations.Target(
                f'{name}-{number:02}',
                f'10.0.0.1:{port + number - first}',
                data_centre,
            )
            for number in range(first, first + count)
        )
        group = group._replace(targets=group.targets + added)
        groups[name] = group
        self.configuration = self.configuration._replace(
            groups=tuple(groups.values())
        )
        for config in added:
            self._locations[config.name] = data_centre
            self.targets[config.name] = fakes.Target(config, group, self.clock)
        self.load_snapshot([target.name for target in added], 1, shards)

    def load_snapshot(
        self, names: list[str], snapshot: int, shards: int
    ) -> None:
        """Load a snapshot on targets, each shard on at least two of them."""
        replicas = max(2, len(names) // shards)
        for index in range(replicas * shards):
            target = self.targets[names[index % len(names)]]
            target.add_shard(snapshot, index % shards, shards)

    def add_class(
        self, request_class: configurations.RequestClass, groups: Iterable[str]
    ) -> None:
        """Add a class of request that is sent to some groups."""
        expression = 'kind in ({0})'.format(','.join(groups))
        selector = configurations.Selector(
            request_class.name, request_class.name, expression
        )
        self.configuration = self.configuration._replace(
            classes=(*self.configuration.classes, request_class),
            selectors=(*self.configuration.selectors, selector),
        )

    def add_host(self, name: str, data_centre: str) -> None:
        """Start a host, replacing one of the same name."""
        self._locations[name] = data_centre
        pool = pools.PlatformPool(
            self.platform, lambda: self.is_cut(name, PLATFORM)
        )
        self.hosts[name] = hosts.Host(name, data_centre, pool, self)
        seeds = tuple(
            host.name
            for host in self.hosts.values()
            if host.data_centre == data_centre
        )
        self.clock.add(name, data_centre, seeds)

    def commit_change(
        self, operator: str, change: changes.Change, base: int | None = None
    ) -> transactions.Outcome:
        """Commit a change by an operator; `base` is the revision it read."""
        number = next(self._counter)
        request = proposals.ChangeRequest(
            f'{operator}-{number}', operator, change
        )
        retry_policy = config_client.RetryPolicy(
            1.0, lambda: self.clock.now, self.clock.run
        )
        return config_client.commit_change(
            self._store,
            request._replace(base_revision=base),
            self.clock.now,
            retry_policy,
        )

    def publish_host_list(self, leaving: str = '') -> None:
        """Set the platform's host list to all targets, one as leaving."""
        rows = [
            {
                'name': name,
                'kind': 'target',
                'address': target.config.address,
                'data_centre': target.config.data_centre,
                'state': 'leaving' if name == leaving else 'live',
            }
            for name, target in self.targets.items()
        ]
        self.platform.set_host_list(rows)

    def is_cut(self, site: str, other_site: str) -> bool:
        """Return whether two hosts, targets or sites are cut off."""
        return any(
            frozenset((near, far)) in self.cut_links
            for near in (site, self._locations[site])
            for far in (other_site, self._locations[other_site])
        )

    def lose_target(self, name: str) -> None:
        """Stop a target without notice and break its connections."""
        self.lost_targets.add(name)
        for host in self.hosts.values():
            host.break_connections(name)
        self.targets[name].restart()

    def submit_query(
        self, host: str, class_name: str, request_id: str = '', key: str = ''
    ) -> None:
        """Submit a query to a host."""
        (request_class,) = (
            each
            for each in self.configuration.classes
            if each.name == class_name
        )
        now = self.clock.now
        query = messages.Query(
            request_id or self.make_request_id(),
            class_name,
            {'limit': 1000},
            key or None,
            now,
            now + request_class.deadline_ms / 1000,
        )
        token = next(self._counter)
        self.submitted.append(
            SubmittedQuery(token, self.hosts[host], query, request_class)
        )
        self.replies[token] = []
        self.hosts[host].handle_query_event(
            messages.QuerySubmitted(token, query)
        )

    def make_request_id(self) -> str:
        """Create a request id with the current time."""
        bits = self._rng.getrandbits(request_ids.RANDOM_BITS)
        return request_ids.make_request_id(self.clock.now, bits)

    def read_claims(self) -> str:
        """Return all claims on the platform as JSON text."""
        listing = self.platform.route(
            'GET', '/v1/keys', {'prefix': 'claims/'}, {}
        )
        assert listing.body is not None
        keys = (row['key'] for row in listing.body['keys'])
        replies = (
            self.platform.route('GET', f'/v1/keys/{key}', {}, {})
            for key in keys
        )
        return json.dumps([reply.body for reply in replies])

    def record_reply(self, host: str, reply: messages.Reply) -> None:
        """Record a reply for its caller."""
        self.replies[reply.token].append(ReceivedReply(reply, self.clock.now))

    def settle(self) -> None:
        """Run until requests in flight have ended, once per point in time."""
        if self.clock.now > self._settled_at:
            self.clock.run(SETTLE_TIME_S)
            self._settled_at = self.clock.now

    def _tick(self) -> None:
        self.clock.call_later(TICK_INTERVAL_S, self._tick)
        for host in self.hosts.values():
            host.tick()

    def _read_host_lists(self) -> None:
        self.clock.call_later(HOST_LIST_INTERVAL_S, self._read_host_lists)
        for host in self.hosts.values():
            host.read_host_list()
