"""Test requests that wait on a host before they are first sent."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    admission,
    configs,
    dispatch,
    events,
    facts,
    freshness,
)
from tests.routing import router_rig

REVOKE_S: Final = 5.0
KEY: Final = '12ab'
CUSTOMERS: Final = (configs.Customer('shop', (KEY,)),)
SINGLE: Final = router_rig.make_route(configs.Single('records'))
WIDE: Final = router_rig.make_route(
    configs.Gather(('one', 'two'), 3, 0.5), prefix='/wide/'
)


class Rig(router_rig.Rig):
    """Own a host that knows the current keys."""

    def __init__(self, *, public: bool = False) -> None:
        """Configure routes and customers."""
        routes = (SINGLE._replace(public=public), WIDE)
        targets = router_rig.make_instances(('records', 'one', 'two'))
        super().__init__(routes, targets)
        self.configure(2, routes, CUSTOMERS)
        keys = self.router.controls.freshness
        keys.revoke_s = REVOKE_S
        keys.update_configuration(self.router.index.configuration)
        keys.record_read(keys.read_clock(), facts.NO_ERA)

    def send_with_key(self, target: str = '/search/1') -> int:
        """Send a request with a key."""
        request = events.Request(
            f'id {target}',
            'GET',
            target,
            'shop.example',
            (),
            b'',
            self.now,
            self.now + 0.8,
            key_digest=KEY,
        )
        return self.submit(request)

    def pause_host(self) -> None:
        """Pause the host for longer than a revoked key may be accepted."""
        self.router.controls.freshness.confirmed_at -= REVOKE_S


def test_refuses_unsent_requests_after_the_host_was_paused() -> None:
    """Guard against a paused host that sends requests with revoked keys."""
    rig = Rig()
    rig.send_with_key()
    send = rig.sent[0]
    assert admission.may_send(rig.router, send.key)
    rig.pause_host()
    assert not admission.may_send(rig.router, send.key)
    rig.post(events.AttemptUnsent(send.key, unreachable=False))
    outcome = rig.replies[0].outcome
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.STALE_KEYS
    assert outcome.ran is errors.Ran.NO
    assert outcome.retry_after == freshness.MIN_WAIT_S
    assert len(rig.sent) == 1


def test_goes_on_with_requests_sent_before_the_host_was_paused() -> None:
    """The first attempt was sent in time, so another target may answer."""
    rig = Rig()
    rig.send_with_key('/wide/1')
    rig.pause_host()
    assert all(admission.may_send(rig.router, it.key) for it in rig.sent)
    rig.post(events.AttemptUnsent(rig.sent[0].key, unreachable=True))
    assert not rig.replies
    assert len(rig.sent) == 3


def test_sends_requests_of_public_routes_after_a_pause() -> None:
    """They need no key, so no check is out of date."""
    rig = Rig(public=True)
    rig.send_with_key()
    rig.pause_host()
    assert admission.may_send(rig.router, rig.sent[0].key)
    rig.post(events.AttemptUnsent(rig.sent[0].key, unreachable=True))
    assert not rig.replies


def test_is_not_ready_while_it_has_to_refuse_keys() -> None:
    """Guard against callers sent to a host that refuses nearly all of them."""
    rig = Rig()
    assert not dispatch.find_obstacle(rig.router, rig.now)
    rig.pause_host()
    assert dispatch.find_obstacle(rig.router, rig.now)
    rig.send_with_key()
    outcome = rig.replies[0].outcome
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.STALE_KEYS
