"""Test that hosts send nothing to an evacuated data centre."""

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    configs,
    deployments,
    dispatch,
    events,
    instances,
    states,
    warmups,
)
from tests.routing import router_rig

SEARCH = configs.Gather(('a', 'b', 'c'), 5, 0.5)
SINGLE = configs.Single('records')
AT_MOST_ONCE_PREFIX = '/once/'


def make_targets(*centres: str) -> list[instances.Instance]:
    """Make a target of each service in each data centre."""
    return [
        instance._replace(
            name=f'{instance.name}-{centre}',
            id=f'{instance.name}-{centre}',
            data_centre=centre,
        )
        for centre in centres
        for instance in router_rig.make_instances(('a', 'b', 'c', 'records'), 1)
    ]


def make_rig(*centres: str) -> router_rig.Rig:
    """Make a host with a search, a single and an at-most-once route."""
    routes = (
        router_rig.make_route(SEARCH),
        router_rig.make_route(SINGLE, prefix='/one/'),
        router_rig.make_route(
            SINGLE, prefix=AT_MOST_ONCE_PREFIX, repeat=router_rig.AT_MOST_ONCE
        ),
    )
    return router_rig.Rig(routes, make_targets(*centres))


def evacuate(rig: router_rig.Rig, targets: list[instances.Instance]) -> None:
    """Evacuate the own data centre."""
    directory = instances.build_directory(targets, {'north'})
    rig.post(events.DirectoryChanged(directory))


@pytest.mark.parametrize('target', ['/search/1', '/one/1', '/once/1'])
def test_sends_no_first_attempts_to_an_evacuated_data_centre(
    target: str,
) -> None:
    """The own data centre is not used although other ones cost more."""
    rig = make_rig('north', 'south')
    evacuate(rig, make_targets('north', 'south'))
    rig.send_request(target)
    sent = rig.pop_sent()
    assert sent
    assert {send.instance.data_centre for send in sent} == {'south'}


def test_sends_no_extra_load_to_an_evacuated_data_centre() -> None:
    """Guard against extra load at targets seconds after the evacuation.

    A search is under way when the evacuation comes. Its attempts in flight end
    there; hedges and retries go elsewhere.
    """
    rig = make_rig('north', 'south')
    rig.send_request()
    first = rig.pop_sent()
    assert {send.instance.data_centre for send in first} == {'north'}
    evacuate(rig, make_targets('north', 'south'))
    rig.break_attempt(first[0])
    rig.advance_time(0.09)
    again = rig.pop_sent()
    assert {send.key.service for send in again} == {'a', 'b', 'c'}
    assert {send.instance.data_centre for send in again} == {'south'}


def test_accepts_the_answer_of_an_evacuated_target() -> None:
    """Attempts in flight end normally, and their answers count."""
    rig = make_rig('north', 'south')
    rig.send_request('/one/1')
    (sent,) = rig.pop_sent()
    evacuate(rig, make_targets('north', 'south'))
    rig.answer(sent, b'record')
    assert isinstance(rig.pop_outcome(), events.RelayedAnswer)


@pytest.mark.parametrize('target', ['/search/1', '/one/1', '/once/1'])
def test_refuses_at_once_when_the_last_data_centre_is_evacuated(
    target: str,
) -> None:
    """Guard against callers that wait for their deadline or retry too soon.

    Nobody can serve them until the evacuation ends, so they are refused at once
    and nothing is sent.
    """
    rig = make_rig('north')
    evacuate(rig, make_targets('north'))
    assert not dispatch.find_obstacle(rig.router, rig.now)
    rig.send_request(target)
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.ran is errors.Ran.NO
    assert 'evacuated' in outcome.detail
    assert outcome.retry_after == 5
    assert not rig.pop_sent()


def test_uses_a_data_centre_again_when_its_evacuation_ends() -> None:
    """The targets there are cold, and their entries say so a little later."""
    rig = make_rig('north', 'south')
    evacuate(rig, make_targets('north', 'south'))
    rig.replace_targets(make_targets('north', 'south'))
    for data_centre in ('south', 'north'):
        rig.send_request('/one/1')
        (sent,) = rig.pop_sent()
        assert sent.instance.data_centre == data_centre
        rig.answer(sent)
        rig.advance_time(warmups.REUSE_COLD_S)


def test_evacuates_a_data_centre_while_another_is_cut_off() -> None:
    """With one cut off and the other evacuated, callers are refused at once."""
    rig = make_rig('north', 'south')
    for peer in ('a', 'b', 'c'):
        rig.router.centre_health.record_sent('south', peer, rig.now)
        rig.router.centre_health.record_failed('south', peer)
    rig.router.centre_health.review(rig.now)
    rig.router.centre_health.review(rig.now)
    evacuate(rig, make_targets('north', 'south'))
    rig.send_request()
    assert isinstance(rig.pop_outcome(), errors.Failure)
    assert not rig.pop_sent()


def test_ignores_the_evacuation_of_an_unknown_data_centre() -> None:
    """A misspelt name excludes nothing."""
    rig = make_rig('north')
    directory = instances.build_directory(make_targets('north'), {'nowhere'})
    rig.post(events.DirectoryChanged(directory))
    rig.send_request('/one/1')
    assert rig.pop_sent()


def test_shares_the_extra_load_as_before_during_an_evacuation() -> None:
    """Guard against extra load beyond its bound during an evacuation.

    The data centres of a wide query share the bound. Hosts that know of the
    evacuation would use a larger part while the others go on using theirs.
    """
    shards = tuple(f's-{number:02}' for number in range(50))
    wide = configs.Gather(shards, 5, 0.5)
    targets = [
        instance._replace(name=f'{instance.name}{centre}', data_centre=centre)
        for centre in ('north', 'south')
        for instance in router_rig.make_instances(shards, 1)
    ]
    router = states.Router(router_rig.HOST, router_rig.EXTRA_LOAD, float)
    route = router_rig.make_route(wide)
    configuration = configs.Configuration(1, (route,), (), configs.Limits())
    dispatch.handle_event(
        router, events.ConfigurationReceived(configuration), 1
    )
    other = deployments.Host('host-2', '10.0.0.2:7000', 'south')
    dispatch.handle_event(
        router, events.HostsChanged(2, (router_rig.HOST, other)), 1
    )
    directory = instances.build_directory(targets)
    dispatch.handle_event(router, events.DirectoryChanged(directory), 1)
    before = router.list_wide_centres()
    directory = instances.build_directory(targets, {'south'})
    dispatch.handle_event(router, events.DirectoryChanged(directory), 2)
    assert router.list_wide_centres() == before == {'north', 'south'}
