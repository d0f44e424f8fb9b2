"""Hold several hosts among small fakes, and let scripted time pass.

The state machines, and the adapters that read and write bytes, are the real
ones; connections, threads and clocks are left out.
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
from tests.scenarios import fakes, hosts, lines

PLATFORM: Final = 'the platform'
#: Where operators and callers are.
OFFICE: Final = 'the office'
TICK_S: Final = 0.01
LIST_S: Final = 2.0
SETTLE_S: Final = 6.0


class Asked(NamedTuple):
    """Remember one request of a caller."""

    token: int
    host: hosts.Host
    query: messages.Query
    policy: configurations.RequestClass


class Told(NamedTuple):
    """Remember one reply and when it left."""

    reply: messages.Reply
    at: float


class World:
    """Own the hosts, the targets, the platform and the time."""

    def __init__(self) -> None:
        """Start without a host or a target."""
        self.clock = networks.Network(0)
        self.clock.is_cut = self.is_cut
        self.clock.notify = lambda name, told: self.hosts[name].meet(told)
        self.platform = platform.Platform(lambda: self.clock.now)
        self.configuration = configurations.Configuration(0)
        self.targets: dict[str, fakes.Target] = {}
        self.hosts: dict[str, hosts.Host] = {}
        self.cuts: set[frozenset[str]] = set()
        self.lost: set[str] = set()
        #: Hosts that were paused once, and may have replied late.
        self.stalled: set[str] = set()
        self.ids: dict[str, str] = {}
        self.outcomes: dict[str, transactions.Outcome] = {}
        self.asked: list[Asked] = []
        self.told: dict[int, list[Told]] = {}
        self.line = lines.Line(
            self.platform, lambda: self.is_cut(OFFICE, PLATFORM)
        )
        self._store = lines.open_store(self.line, self.clock)
        self._places: dict[str, str] = {PLATFORM: PLATFORM, OFFICE: OFFICE}
        self._settled = 0.0
        self._numbers = itertools.count(1)
        self._random = random.Random(1)
        self._tick()
        self._read_lists()

    def add_group(self, name: str, count: int, shards: int, place: str) -> None:
        """Add a group of targets which hold snapshot 1, or add to it."""
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
                place,
            )
            for number in range(first, first + count)
        )
        group = group._replace(targets=group.targets + added)
        groups[name] = group
        self.configuration = self.configuration._replace(
            groups=tuple(groups.values())
        )
        for config in added:
            self._places[config.name] = place
            self.targets[config.name] = fakes.Target(config, group, self.clock)
        self.load_snapshot([one.name for one in added], 1, shards)

    def load_snapshot(
        self, names: list[str], snapshot: int, shards: int
    ) -> None:
        """Let targets hold a snapshot, each shard on two of them or more."""
        copies = max(2, len(names) // shards)
        for place in range(copies * shards):
            target = self.targets[names[place % len(names)]]
            target.hold(snapshot, place % shards, shards)

    def add_class(
        self, policy: configurations.RequestClass, groups: Iterable[str]
    ) -> None:
        """Add a class of request that reaches some groups."""
        words = 'kind in ({0})'.format(','.join(groups))
        selector = configurations.Selector(policy.name, policy.name, words)
        self.configuration = self.configuration._replace(
            classes=(*self.configuration.classes, policy),
            selectors=(*self.configuration.selectors, selector),
        )

    def add_host(self, name: str, data_centre: str) -> None:
        """Start a host, or one anew under the name of another."""
        self._places[name] = data_centre
        line = lines.Line(self.platform, lambda: self.is_cut(name, PLATFORM))
        self.hosts[name] = hosts.Host(name, data_centre, line, self)
        seeds = tuple(
            host.name
            for host in self.hosts.values()
            if host.data_centre == data_centre
        )
        self.clock.add(name, data_centre, seeds)

    def change(
        self, operator: str, change: changes.Change, base: int | None = None
    ) -> transactions.Outcome:
        """Let an operator make a change; `base` is what was seen before."""
        number = next(self._numbers)
        request = proposals.ChangeRequest(
            f'{operator}-{number}', operator, change
        )
        patience = config_client.RetryPolicy(
            1.0, lambda: self.clock.now, self.clock.run
        )
        return config_client.commit_change(
            self._store,
            request._replace(base_revision=base),
            self.clock.now,
            patience,
        )

    def list_hosts(self, leaving: str = '') -> None:
        """Let the platform list all targets, one of them as leaving."""
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
        self.platform.list_hosts(rows)

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two places cannot reach each other now."""
        return any(
            frozenset((near, far)) in self.cuts
            for near in (one, self._places[one])
            for far in (other, self._places[other])
        )

    def lose_target(self, name: str) -> None:
        """Let a target end without a word; its connections break."""
        self.lost.add(name)
        for host in self.hosts.values():
            host.break_links(name)
        self.targets[name].restart()

    def ask(
        self, host: str, class_name: str, request_id: str = '', key: str = ''
    ) -> None:
        """Let a caller ask a host."""
        (policy,) = (
            one for one in self.configuration.classes if one.name == class_name
        )
        now = self.clock.now
        query = messages.Query(
            request_id or self.mint(),
            class_name,
            {'limit': 1000},
            key or None,
            now,
            now + policy.deadline_ms / 1000,
        )
        token = next(self._numbers)
        self.asked.append(Asked(token, self.hosts[host], query, policy))
        self.told[token] = []
        self.hosts[host].tell(messages.QuerySubmitted(token, query))

    def mint(self) -> str:
        """Make the id of a request of now."""
        bits = self._random.getrandbits(request_ids.RANDOM_BITS)
        return request_ids.make_request_id(self.clock.now, bits)

    def read_claims(self) -> str:
        """Read all claims that the platform holds."""
        found = self.platform.route(
            'GET', '/v1/keys', {'prefix': 'claims/'}, {}
        )
        assert found.body is not None
        keys = (row['key'] for row in found.body['keys'])
        replies = (
            self.platform.route('GET', f'/v1/keys/{key}', {}, {})
            for key in keys
        )
        return json.dumps([reply.body for reply in replies])

    def note_reply(self, host: str, reply: messages.Reply) -> None:
        """Hand a reply to its caller."""
        self.told[reply.token].append(Told(reply, self.clock.now))

    def settle(self) -> None:
        """Let all that is under way come to its end, once."""
        if self.clock.now > self._settled:
            self.clock.run(SETTLE_S)
            self._settled = self.clock.now

    def _tick(self) -> None:
        self.clock.call_later(TICK_S, self._tick)
        for host in self.hosts.values():
            host.tick()

    def _read_lists(self) -> None:
        self.clock.call_later(LIST_S, self._read_lists)
        for host in self.hosts.values():
            host.read_list()
