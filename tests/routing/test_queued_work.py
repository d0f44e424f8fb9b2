"""Test how queued work is built, and how it is refused."""

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, events, queued_work
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number}' for number in range(45))
WIDE = router_rig.make_route(configs.Gather(SHARDS, 3, 0.9))
ONCE = router_rig.make_route(
    configs.Single('records'), prefix='/one/', repeat=router_rig.AT_MOST_ONCE
)
HOT = configs.Customer('hot', ('hot-key',))
URGENT = configs.Customer('urgent', ('urgent-key',), priority=0)


def make_rig() -> router_rig.Rig:
    """Make a host with two customers, one of them urgent."""
    rig = router_rig.Rig([], router_rig.make_instances([*SHARDS, 'records']))
    rig.configure(2, [WIDE, ONCE], (HOT, URGENT))
    return rig


def make_request(
    rig: router_rig.Rig, key: str, target: str
) -> events.RequestReceived:
    """Make a request with a key."""
    request = events.Request(
        'id', 'GET', target, 'shop.example', (), b'', rig.now, rig.now + 0.8
    )
    return events.RequestReceived(7, request._replace(key_digest=key))


def make_delegated(
    rig: router_rig.Rig, customer: str
) -> events.DelegatedRequestReceived:
    """Make a delegated request for some parts."""
    request = make_request(rig, '', '/search/1').request
    delegated = events.DelegatedRequest(
        request._replace(customer=customer),
        WIDE.name,
        WIDE.objective,
        3,
        SHARDS[:15],
        rig.now + 0.11,
    )
    return events.DelegatedRequestReceived(8, delegated)


def test_a_wide_query_costs_its_parts() -> None:
    """Guard against wide queries that get many times a customer's share."""
    rig = make_rig()
    event = make_request(rig, 'hot-key', '/search/1')
    work = queued_work.make_work(rig.router, event, rig.now)
    delegated_work = queued_work.make_work(
        rig.router, make_delegated(rig, 'hot'), rig.now
    )
    assert work is not None
    assert delegated_work is not None
    assert (work.cost, work.customer, work.priority) == (45, 'hot', 1)
    assert (
        delegated_work.cost,
        delegated_work.customer,
        delegated_work.priority,
    ) == (15, 'hot', 1)


def test_a_split_costs_one_part() -> None:
    """Guard against a cost of all services of a split for one request."""
    rig = make_rig()
    parts = tuple(configs.Weighted(it, 1.0) for it in ('records', 'trial'))
    split = router_rig.make_route(configs.Split(parts), prefix='/split/')
    rig.configure(3, [split], (HOT,))
    event = make_request(rig, 'hot-key', '/split/1')
    work = queued_work.make_work(rig.router, event, rig.now)
    assert work is not None
    assert work.cost == 1


def test_does_not_queue_what_is_refused_at_once() -> None:
    """Guard against callers without a key that wait in the queue."""
    rig = make_rig()
    event = make_request(rig, 'nobody', '/search/1')
    assert queued_work.make_work(rig.router, event, rig.now) is None


def test_uses_the_priority_in_force() -> None:
    """Guard against queued work that keeps a priority after its removal."""
    rig = make_rig()
    works = [
        queued_work.make_work(rig.router, event, rig.now)
        for event in (
            make_request(rig, 'urgent-key', '/search/1'),
            make_delegated(rig, 'urgent'),
        )
    ]
    rig.configure(3, [WIDE], (HOT, URGENT._replace(priority=3)))
    for work in works:
        assert work is not None
        assert work.priority == 0
        assert queued_work.find_priority(rig.router, work) == 3


def test_a_refused_request_has_not_run() -> None:
    """Guard against an at-most-once request that runs after its refusal."""
    rig = make_rig()
    event = make_request(rig, 'hot-key', '/one/1')
    work = queued_work.make_work(rig.router, event, rig.now)
    assert work is not None
    actions = queued_work.refuse(
        rig.router, work, queued_work.QueueRefusal.LATE, rig.now + 0.5
    )
    reply, summary = actions
    assert isinstance(reply, events.Reply)
    assert isinstance(reply.outcome, errors.Failure)
    assert reply.outcome.ran is errors.Ran.NO
    assert reply.outcome.retry_after
    assert isinstance(summary, events.RequestSummary)
    assert 'waited 0.500 s' in summary.why
    assert not rig.router.active_requests


def test_returns_parts_as_not_sent() -> None:
    """Guard against parts that use an attempt without being sent."""
    rig = make_rig()
    work = queued_work.make_work(
        rig.router, make_delegated(rig, 'hot'), rig.now
    )
    assert work is not None
    action, summary = queued_work.refuse(
        rig.router, work, queued_work.QueueRefusal.LATE, rig.now
    )
    assert isinstance(action, events.SendDelegationReport)
    assert action.report.is_last
    assert [it.service for it in action.report.lost] == list(SHARDS[:15])
    assert not any(it.may_have_arrived for it in action.report.lost)
    assert isinstance(summary, events.RequestSummary)
    assert summary.assists


def test_returns_only_less_urgent_parts_early() -> None:
    """Guard against urgent parts passed from one busy host to the next."""
    rig = make_rig()
    hot = queued_work.make_work(rig.router, make_delegated(rig, 'hot'), rig.now)
    urgent = queued_work.make_work(
        rig.router, make_delegated(rig, 'urgent'), rig.now
    )
    assert hot is not None
    assert urgent is not None
    assert hot.latest_start < hot.deadline
    assert urgent.latest_start == urgent.deadline
