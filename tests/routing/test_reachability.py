"""Test when a host reports to its balancer that it is cut off."""

import pytest

from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import centre_health, configs, dispatch, events
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 3, 0.8))
SINGLE = router_rig.make_route(configs.Single('records'), prefix='/one/')


def make_rig() -> router_rig.Rig:
    """Make a host with six near shards and four in another data centre."""
    near = router_rig.make_instances((*SHARDS[:6], 'records'))
    far = router_rig.make_instances(SHARDS[6:], 2, 'south')
    return router_rig.Rig([SEARCH, SINGLE], [*near, *far])


def cut_off_south(rig: router_rig.Rig) -> list[events.SendAttempt]:
    """Send a request that only near targets answer; return the other sends."""
    rig.send_request()
    silent = []
    for send in rig.pop_sent():
        if send.instance.data_centre == 'south':
            silent.append(send)
        else:
            rig.answer(send)
    return silent


def test_is_not_ready_while_most_requests_miss_too_many_shards() -> None:
    """Guard against refused callers while their data centre is cut off.

    Four of ten shards are silent and 80 % are required. Hosts elsewhere can
    serve these callers, so this one reports that it is not ready, until
    connections to the far targets can be opened.
    """
    rig = make_rig()
    cut_off_south(rig)
    assert not dispatch.find_obstacle(rig.router, rig.now)
    rig.advance_time(0.3)
    hedges = rig.pop_sent()
    rig.advance_time(0.45)
    assert dispatch.find_obstacle(rig.router, rig.now)
    for send in hedges:
        rig.post(events.TargetConnected(send.instance.name))
        rig.answer(send)
    assert not dispatch.find_obstacle(rig.router, rig.now)


def test_stays_unready_after_hung_requests_have_ended() -> None:
    """The end of hung requests proves nothing; a connection does."""
    rig = make_rig()
    hung = cut_off_south(rig)
    rig.advance_time(0.7)
    hung.extend(rig.pop_sent())
    for send in hung:
        rig.break_attempt(send, messages.Fault.TIMED_OUT)
    rig.advance_time(2)
    assert dispatch.find_obstacle(rig.router, rig.now)
    for send in hung:
        rig.post(events.TargetConnected(send.instance.name))
    assert not dispatch.find_obstacle(rig.router, rig.now)


def test_stays_ready_for_a_service_without_any_target() -> None:
    """No host could serve it, so moving callers elsewhere gains nothing."""
    rig = make_rig()
    rig.replace_targets(router_rig.make_instances(SHARDS))
    for _ in range(5):
        rig.send_request('/one/1')
    assert not dispatch.find_obstacle(rig.router, rig.now)


WIDE = tuple(f'wide-{number:02}' for number in range(45))
#: Shards with targets in this data centre.
NEAR_SHARDS = 30


def make_wide_rig(*, customers: bool) -> router_rig.Rig:
    """Make a host that reaches 30 of 45 shards in its own data centre."""
    wide = router_rig.make_route(configs.Gather(WIDE, 3, 0.8))
    targets = [
        *router_rig.make_instances((*WIDE[:NEAR_SHARDS], 'records')),
        *router_rig.make_instances(WIDE[NEAR_SHARDS:], 2, 'south'),
    ]
    rig = router_rig.Rig([], targets)
    routes = (
        wide._replace(public=True),
        SINGLE._replace(public=True),
    )
    rig.post(
        events.ConfigurationReceived(
            configs.Configuration(
                2, routes, (), configs.Limits(), () if customers else None
            )
        )
    )
    return rig


def report_silent(rig: router_rig.Rig, *silent: str) -> None:
    """Have two hosts of the own data centre report silent data centres."""
    for name in ('host-2', 'host-3'):
        report = centre_health.SilenceReport(name, 'north', silent)
        rig.router.centre_health.update_report(report, rig.now)


@pytest.mark.parametrize('customers', [True, False])
def test_a_host_with_few_requests_counts_the_wide_routes(
    *, customers: bool
) -> None:
    """Guard against callers that stay in a data centre that is cut off.

    The balancer moves them only if no host there is ready, and hosts without
    wide requests at the time did not notice the cut.
    """
    rig = make_wide_rig(customers=customers)
    for _ in range(5):
        rig.send_request('/one/1')
    report_silent(rig, 'south')
    assert bool(dispatch.find_obstacle(rig.router, rig.now)) is customers
    report_silent(rig)
    assert not dispatch.find_obstacle(rig.router, rig.now)


def test_stays_ready_while_another_data_centre_is_cut_off() -> None:
    """The reachable shards are enough, so its callers are served here."""
    rig = make_wide_rig(customers=True)
    rig.replace_targets(router_rig.make_instances((*WIDE, 'records')))
    report_silent(rig, 'south')
    assert not dispatch.find_obstacle(rig.router, rig.now)
