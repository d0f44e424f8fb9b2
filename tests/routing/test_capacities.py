"""Test what hosts tell of what they can do, and what that comes to."""

import json

import pytest

from fuchsiahaven.platform import records
from fuchsiahaven.routing import (
    capacities,
    codecs,
    duties,
    facts,
    ledgers,
    places,
    quota_holders,
    quota_slots,
)
from tests.routing import router_rig

SMALL = tuple(
    places.Host(f'small-{number}', f'10.0.1.{number}:1', 'north', 0.361)
    for number in range(30)
)
LARGE = tuple(
    places.Host(f'large-{number}', f'10.0.2.{number}:1', 'north', 2.151)
    for number in range(2)
)
DUTIES = tuple(duties.Duty('north', f'chunk-{it}') for it in range(100))
NEVER = float('-inf')


def tell(host: places.Host, revision: int = 4) -> facts.Report:
    """Report one host."""
    key = facts.Key(facts.Subject.HOST, host.name)
    fact = facts.Fact(key, revision, host)
    return facts.Report(9, (fact,), whole=True, age=0.0)


def count_first(hosts: tuple[places.Host, ...], name: str) -> int:
    """Count the chunks of a hundred that a host is on duty for, the first."""
    ranked = [duties.rank_hosts(duty, hosts) for duty in DUTIES]
    return sum(it[0].name.startswith(name) for it in ranked)


@pytest.mark.parametrize(
    ('told', 'wanted'),
    [
        (2.151, 2.151),
        (1, 1.0),
        (0, places.UNTOLD),
        (-3, places.UNTOLD),
        (float('nan'), places.UNTOLD),
        (float('inf'), places.UNTOLD),
        ('many', places.UNTOLD),
        (True, places.UNTOLD),
        (None, places.UNTOLD),
        (1e300, capacities.MOST),
        (1e-300, capacities.LEAST),
    ],
)
def test_bounds_what_is_told(told: object, wanted: float) -> None:
    """Anybody may have written an entry, and a report."""
    assert capacities.read({'capacity': told}) == wanted


def test_tells_its_capacity_in_its_entry() -> None:
    """A host that is told of none writes what it wrote before."""
    for capacity in (2.151, 1.0, places.UNTOLD):
        host = LARGE[0]._replace(capacity=capacity)
        key, encoded = records.write_host(host)
        named = records.name_key(key)
        assert named is not None
        assert records.read_value(named, encoded) == host
        report = codecs.read_report(codecs.write_report(tell(host)))
        assert report == tell(host)


def test_hosts_of_the_version_before_read_a_report() -> None:
    """Symptom: they refuse a report in which a host has a field more."""
    row = json.loads(codecs.write_report(tell(LARGE[0])))['facts'][0]
    assert row['capacity'] == 2.151
    assert row['value'].keys() == {'name', 'address', 'data_centre'}
    untold = tell(LARGE[0]._replace(capacity=places.UNTOLD))
    assert 'capacity' not in json.loads(codecs.write_report(untold))['facts'][0]


def test_learns_a_capacity_that_was_lost_on_the_way() -> None:
    """Symptom: hosts disagree for good on who is on duty.

    One has heard of an entry from a host of the version before, which passes
    it on without the capacity.
    """
    lost = tell(LARGE[0]._replace(capacity=places.UNTOLD))
    for reports in ((lost, tell(LARGE[0])), (tell(LARGE[0]), lost)):
        ledger = ledgers.begin(1)
        for report in reports:
            ledger = ledgers.merge(ledger, report, 1.0, returned=NEVER).ledger
        assert facts.list_hosts(ledger) == [LARGE[0]]


def test_takes_another_capacity_from_a_later_entry() -> None:
    """A host starts again with fewer cores, or tells of none."""
    for capacity in (0.5, 1.0, places.UNTOLD):
        changed = LARGE[0]._replace(capacity=capacity)
        ledger = ledgers.begin(1)
        for report in (tell(LARGE[0]), tell(changed, 5)):
            ledger = ledgers.merge(ledger, report, 1.0, returned=NEVER).ledger
        assert facts.list_hosts(ledger) == [changed]


def test_large_hosts_gather_most_chunks() -> None:
    """Symptom: the smallest hosts are the slowest part of every answer."""
    assert count_first((*SMALL, *LARGE), 'large') > 65
    alike = tuple(
        it._replace(capacity=places.UNTOLD) for it in (*SMALL, *LARGE)
    )
    assert count_first(alike, 'large') < 20


def test_duties_spread_when_all_large_hosts_die() -> None:
    """No host takes over more than a few of their chunks."""
    ranked = [duties.rank_hosts(duty, SMALL) for duty in DUTIES]
    for place in range(duties.ON_DUTY):
        for host in SMALL:
            assert sum(it[place] == host for it in ranked) < 12


def test_hosts_of_the_version_before_have_their_part_among_small_ones() -> None:
    """Symptom: the last host that is not updated gathers nearly all chunks."""
    last = places.Host('last', '10.0.3.1:1', 'north')
    assert count_first((*SMALL, last), 'last') < 12
    old = tuple(it._replace(capacity=places.UNTOLD) for it in SMALL)
    for updated in (SMALL[0], LARGE[0]):
        assert count_first((*old[1:], updated), updated.name) < 12


def test_a_host_that_tells_nonsense_has_one_place_of_two() -> None:
    """Another host is on duty for each chunk whatever one tells."""
    told = capacities.read({'capacity': 1e300})
    liar = places.Host('liar', '10.0.3.1:1', 'north', told)
    for duty in DUTIES:
        first = duties.rank_hosts(duty, (*SMALL, liar))[: duties.ON_DUTY]
        assert sum(host != liar for host in first) >= duties.ON_DUTY - 1


def test_hosts_that_hold_connections_are_two_for_each_chunk() -> None:
    """The seats at a target are shared out among so many, large or not."""
    hosts = (*SMALL, *LARGE)
    sharers = duties.count_sharers(
        'one', frozenset(('one',)), hosts, len(hosts)
    )
    assert sharers == duties.ON_DUTY


def test_is_itself_whatever_others_tell_of_its_capacity() -> None:
    """Symptom: a host asks itself for parts, or holds no quota of its own.

    A host of the version before has passed its entry on.
    """
    own = router_rig.HOST._replace(capacity=2.151)
    quota = places.Quota(10.0, 0.1, 20.0)
    limit = quota_slots.Limit('shop', 10.0, 20.0)
    slots = quota_slots.split(limit, quota, (own.data_centre,))
    holders = quota_holders.Holders(own)
    holders.note_hosts((router_rig.HOST,))
    assert holders.holds(limit, slots, 0)
