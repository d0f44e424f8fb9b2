"""Test the reported capacities of hosts, and the weights that follow."""

import json

import pytest

from fuchsiahaven.platform import records
from fuchsiahaven.routing import (
    capacities,
    chunk_assignments,
    deployments,
    facts,
    quota_holders,
    quota_slots,
    report_codecs,
    store_views,
)
from tests.routing import router_rig

SMALL = tuple(
    deployments.Host(f'small-{number}', f'10.0.1.{number}:1', 'north', 0.361)
    for number in range(30)
)
LARGE = tuple(
    deployments.Host(f'large-{number}', f'10.0.2.{number}:1', 'north', 2.151)
    for number in range(2)
)
CHUNK_KEYS = tuple(
    chunk_assignments.ChunkKey('north', f'chunk-{it}') for it in range(100)
)
NEVER = float('-inf')


def make_report(host: deployments.Host, revision: int = 4) -> facts.Report:
    """Make a report of one host."""
    key = facts.Key(facts.Subject.HOST, host.name)
    fact = facts.Fact(key, revision, host)
    return facts.Report(9, (fact,), full=True, age=0.0)


def count_first_assigned(hosts: tuple[deployments.Host, ...], name: str) -> int:
    """Count the chunks of a hundred that are first assigned to such hosts."""
    ranked = [
        chunk_assignments.rank_hosts(chunk_key, hosts)
        for chunk_key in CHUNK_KEYS
    ]
    return sum(it[0].name.startswith(name) for it in ranked)


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (2.151, 2.151),
        (1, 1.0),
        (0, deployments.UNKNOWN_CAPACITY),
        (-3, deployments.UNKNOWN_CAPACITY),
        (float('nan'), deployments.UNKNOWN_CAPACITY),
        (float('inf'), deployments.UNKNOWN_CAPACITY),
        ('many', deployments.UNKNOWN_CAPACITY),
        (True, deployments.UNKNOWN_CAPACITY),
        (None, deployments.UNKNOWN_CAPACITY),
        (1e300, capacities.MAX_CORES),
        (1e-300, capacities.MIN_CORES),
    ],
)
def test_clamps_decoded_capacities(value: object, expected: float) -> None:
    """Entries and reports may hold any value."""
    assert capacities.decode_capacity({'capacity': value}) == expected


def test_an_entry_carries_the_capacity() -> None:
    """A host of unknown capacity writes the same entry as before."""
    for capacity in (2.151, 1.0, deployments.UNKNOWN_CAPACITY):
        host = LARGE[0]._replace(capacity=capacity)
        key, encoded = records.encode_host(host)
        named = records.parse_key(key)
        assert named is not None
        assert records.decode_value(named, encoded) == host
        report = report_codecs.decode_report(
            report_codecs.encode_report(make_report(host))
        )
        assert report == make_report(host)


def test_encodes_the_capacity_outside_the_value() -> None:
    """Guard against reports that hosts of the previous version reject.

    They accept no additional field in the value of a host.
    """
    row = json.loads(report_codecs.encode_report(make_report(LARGE[0])))[
        'facts'
    ][0]
    assert row['capacity'] == 2.151
    assert row['value'].keys() == {'name', 'address', 'data_centre'}
    unknown = make_report(
        LARGE[0]._replace(capacity=deployments.UNKNOWN_CAPACITY)
    )
    assert (
        'capacity'
        not in json.loads(report_codecs.encode_report(unknown))['facts'][0]
    )


def test_prefers_an_entry_with_its_capacity() -> None:
    """Guard against hosts that never agree on the hosts of a chunk.

    One of them got the entry from a host of the previous version, which passes
    it on without the capacity.
    """
    without_capacity = make_report(
        LARGE[0]._replace(capacity=deployments.UNKNOWN_CAPACITY)
    )
    for reports in (
        (without_capacity, make_report(LARGE[0])),
        (make_report(LARGE[0]), without_capacity),
    ):
        view = store_views.create(1)
        for report in reports:
            view = store_views.merge_report(
                view, report, 1.0, returned_at=NEVER
            ).view
        assert facts.list_hosts(view) == [LARGE[0]]


def test_applies_the_capacity_of_a_later_entry() -> None:
    """A host restarts with fewer cores, or with unknown capacity."""
    for capacity in (0.5, 1.0, deployments.UNKNOWN_CAPACITY):
        changed = LARGE[0]._replace(capacity=capacity)
        view = store_views.create(1)
        for report in (make_report(LARGE[0]), make_report(changed, 5)):
            view = store_views.merge_report(
                view, report, 1.0, returned_at=NEVER
            ).view
        assert facts.list_hosts(view) == [changed]


def test_large_hosts_gather_most_chunks() -> None:
    """Guard against answers that wait for their smallest hosts."""
    assert count_first_assigned((*SMALL, *LARGE), 'large') > 65
    alike = tuple(
        it._replace(capacity=deployments.UNKNOWN_CAPACITY)
        for it in (*SMALL, *LARGE)
    )
    assert count_first_assigned(alike, 'large') < 20


def test_chunks_spread_when_all_large_hosts_die() -> None:
    """No host takes over more than a few of their chunks."""
    ranked = [
        chunk_assignments.rank_hosts(chunk_key, SMALL)
        for chunk_key in CHUNK_KEYS
    ]
    for position in range(chunk_assignments.HOSTS_PER_CHUNK):
        for host in SMALL:
            assert sum(it[position] == host for it in ranked) < 12


def test_hosts_of_unknown_capacity_count_as_small() -> None:
    """Guard against nearly all chunks on the last host that is not updated."""
    last = deployments.Host('last', '10.0.3.1:1', 'north')
    assert count_first_assigned((*SMALL, last), 'last') < 12
    old = tuple(
        it._replace(capacity=deployments.UNKNOWN_CAPACITY) for it in SMALL
    )
    for updated in (SMALL[0], LARGE[0]):
        assert count_first_assigned((*old[1:], updated), updated.name) < 12


def test_a_host_with_a_false_capacity_is_one_of_two_assigned() -> None:
    """Each chunk is assigned to another host too, whatever one reports."""
    capacity = capacities.decode_capacity({'capacity': 1e300})
    faulty = deployments.Host('liar', '10.0.3.1:1', 'north', capacity)
    for chunk_key in CHUNK_KEYS:
        first = chunk_assignments.rank_hosts(chunk_key, (*SMALL, faulty))[
            : chunk_assignments.HOSTS_PER_CHUNK
        ]
        assert (
            sum(host != faulty for host in first)
            >= chunk_assignments.HOSTS_PER_CHUNK - 1
        )


def test_two_hosts_share_the_connections_of_each_chunk() -> None:
    """The connections to a target are shared by so many, large or not."""
    hosts = (*SMALL, *LARGE)
    sharers = chunk_assignments.count_sharers(
        'one', frozenset(('one',)), hosts, len(hosts)
    )
    assert sharers == chunk_assignments.HOSTS_PER_CHUNK


def test_identifies_itself_whatever_its_reported_capacity() -> None:
    """Guard against a host that delegates to itself or holds no quota.

    A host of the previous version has passed its entry on.
    """
    own = router_rig.HOST._replace(capacity=2.151)
    quota = deployments.QuotaTolerance(10.0, 0.1, 20.0)
    limit = quota_slots.Limit('shop', 10.0, 20.0)
    slots = quota_slots.split_quota(limit, quota, (own.data_centre,))
    holders = quota_holders.Holders(own)
    holders.update_hosts((router_rig.HOST,))
    assert holders.holds_slot(limit, slots, 0)
