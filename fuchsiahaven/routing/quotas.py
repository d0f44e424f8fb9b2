"""Limit each customer's requests to its quota, over all hosts.

A customer's quota is a token bucket that is split into slots, which hosts of
all data centres hold. A request is admitted for one token of any slot. Each
token is granted once, so their sum bounds what all hosts admit even if messages
between hosts are lost or late.
"""

import functools
import itertools
import zlib
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    active_requests,
    configs,
    deployments,
    quota_buckets,
    quota_holders,
    quota_messages,
    quota_slots,
    quota_tokens,
)

SOURCE: Final = 'quotas'
#: Time limits for the reply of one holder, and for those of all holders.
REPLY_TIMEOUT_S: Final = 0.015
TOTAL_TIMEOUT_S: Final = 0.06
#: Retry-After where no holder replied or knew the customer's limit.
NO_HOLDER_RETRY_S: Final = 0.3
#: Fraction of a wait over which callers are spread.
SPREAD_FRACTION: Final = 0.25
WAIT_DIGITS: Final = 2
MIN_RETRY_AFTER_S: Final = 0.01
#: Most callers give up rather than wait longer than this.
MAX_RETRY_AFTER_S: Final = 5.0
MAX_CRC32: Final = 0xFFFF_FFFF


class Settings(NamedTuple):
    """Hold the deployment's settings and the id of this process start.

    Nothing is limited while `quota` is None.
    """

    quota: deployments.QuotaTolerance | None
    data_centres: tuple[str, ...]
    start_id: int


class PendingRequest(NamedTuple):
    """Hold a request that waits for a token.

    `remaining_slots` have not been asked yet. `slot` was asked last, at
    `holder`, which may reply until `reply_deadline`. `slot_waits` are the waits
    of the empty slots, in seconds. The request is refused at `deadline`.
    """

    routed: active_requests.RoutedRequest
    limit: quota_slots.Limit
    remaining_slots: tuple[int, ...]
    deadline: float
    slot: int = 0
    holder: str = ''
    reply_deadline: float = 0.0
    slot_waits: tuple[float, ...] = ()


class SpentToken(NamedTuple):
    """Hold the customer and the expiry of the token that a request spent."""

    customer: str
    expires_at: float


class Decision(NamedTuple):
    """Admit a request that has its token, or refuse it with a failure."""

    routed: active_requests.RoutedRequest
    failure: errors.Failure | None


class Output(NamedTuple):
    """Hold new decisions and messages, and when to expire pending replies."""

    decisions: tuple[Decision, ...]
    messages: tuple[quota_messages.SendMessage, ...]
    check_at: float | None


ChargeResult = errors.Failure | active_requests.RoutedRequest | PendingRequest


def _find_no_wait() -> float:
    return 0.0


class Quotas:
    """Charge requests for tokens; own the pending ones and spare tokens."""

    def __init__(
        self,
        host: deployments.Host,
        find_wait: Callable[[], float] = _find_no_wait,
    ) -> None:
        """Start without limits.

        `find_wait` returns for how many seconds this host refuses customers'
        requests because its configuration is not known to be current. It grants
        no tokens either, as other hosts may hold its slots by then.
        """
        self.host = host
        self._find_wait = find_wait
        self.settings = Settings(None, (host.data_centre,), 0)
        self.buckets = quota_buckets.Buckets()
        #: Whether there may be new output. It is checked far more often than it
        #: becomes true.
        self.has_output = False
        self._messages: list[quota_messages.SendMessage] = []
        self._decisions: list[Decision] = []
        self._holders = quota_holders.Holders(host)
        self._spare_tokens = quota_tokens.SpareTokens()
        self._customers: Mapping[str, configs.Customer] = {}
        self._pending: dict[int, PendingRequest] = {}
        self._spent: dict[int, SpentToken] = {}
        self._numbers = itertools.count(1)

    def update_hosts(
        self, hosts: tuple[deployments.Host, ...], now: float
    ) -> None:
        """Update the hosts among which slots are distributed."""
        if self._holders.update_hosts(hosts):
            is_held = functools.partial(
                _is_holder, self._holders, self._customers, self.settings
            )
            self.buckets.update_holders(now, is_held)

    def update_customers(
        self, customers: tuple[configs.Customer, ...], now: float
    ) -> None:
        """Update the customers from the configuration in force."""
        self._customers = {it.name: it for it in customers}
        self.buckets.update_customers(frozenset(self._customers), now)
        self._spare_tokens.retain_customers(frozenset(self._customers))

    def charge(
        self,
        customer: configs.Customer,
        routed: active_requests.RoutedRequest,
        now: float,
    ) -> ChargeResult:
        """Charge a request to its customer, or return why it is refused.

        If it has to wait for a reply, its decision is part of a later output.
        """
        if self.settings.quota is None or customer.rate <= 0:
            return routed
        limit = quota_slots.make_limit(customer)
        expires = self._spare_tokens.spend(limit.customer, now)
        if expires is not None:
            self._spent[routed.number] = SpentToken(limit.customer, expires)
            return routed
        self.has_output = True
        slots = _split_quota(limit, self.settings)
        remaining_slots = self._holders.order_slots(limit, slots, now)
        pending = PendingRequest(
            routed, limit, remaining_slots, now + TOTAL_TIMEOUT_S
        )
        return self._ask_next_holder(pending, now)

    def record_end(self, number: int, now: float, *, ran: bool) -> None:
        """Record the end of a request; one that has not run costs no token."""
        self._pending = {
            key: it
            for key, it in self._pending.items()
            if it.routed.number != number
        }
        spent = self._spent.pop(number, None)
        if spent is not None and not ran:
            self._spare_tokens.add(spent.customer, 1, spent.expires_at)

    def handle_message(
        self, event: quota_messages.MessageReceived, now: float
    ) -> None:
        """Handle a message of another host."""
        if self.settings.quota is None:
            return
        # Replies that were awaited while this host was paused are overdue.
        self.expire_pending(now)
        match event.message:
            case quota_messages.TokenRequest():
                self._handle_token_request(event.message, event.sender, now)
            case quota_messages.TokenReply():
                self._handle_token_reply(event.message, event.sender, now)

    def expire_pending(self, now: float) -> None:
        """Ask the next holders for requests whose reply is overdue."""
        self.has_output = True
        overdue = [
            it for it in self._pending.items() if it[1].reply_deadline <= now
        ]
        for number, pending in overdue:
            self._pending.pop(number)
            self._holders.record_silence(pending.holder, now)
            result = self._ask_next_holder(pending, now)
            self._decisions.extend(_list_decisions(result, pending))

    def pop_output(self) -> Output:
        """Return and clear the decisions and messages since the last call."""
        check_at = min(
            (it.reply_deadline for it in self._pending.values()), default=None
        )
        output = Output(tuple(self._decisions), tuple(self._messages), check_at)
        self._decisions.clear()
        self._messages.clear()
        self.has_output = False
        return output

    def _ask_next_holder(
        self, pending: PendingRequest, now: float
    ) -> ChargeResult:
        """Ask the next holder while slots and time remain."""
        if self.settings.quota is None:
            return pending.routed
        slots = _split_quota(pending.limit, self.settings)
        while pending.remaining_slots and now < pending.deadline:
            slot, *remaining_slots = pending.remaining_slots
            pending = pending._replace(
                remaining_slots=tuple(remaining_slots), slot=slot
            )
            holder = self._holders.find_holder(pending.limit, slots, slot)
            result = self._try_slot(pending, holder, slots.shares[slot], now)
            if result is not None:
                return result
            pending = _add_slot_wait(pending, self._holders, now)
        return _make_refusal(pending)

    def _try_slot(
        self,
        pending: PendingRequest,
        holder: deployments.Host | None,
        share: quota_slots.SlotShare,
        now: float,
    ) -> ChargeResult | None:
        """Ask the holder of one slot; None if it has no token or no holder."""
        limit = pending.limit
        is_empty = self._holders.is_empty(limit.customer, pending.slot, now)
        if holder is None or is_empty:
            return None
        if holder.name != self.host.name:
            return self._send_token_request(pending, holder, now)
        if self._find_wait():
            return None
        wanted = self._spare_tokens.count_wanted(limit.customer, now)
        grant = self.buckets.grant(limit, pending.slot, share, wanted, now)
        return self._record_grant(pending, grant, now)

    def _send_token_request(
        self, pending: PendingRequest, holder: deployments.Host, now: float
    ) -> PendingRequest:
        number = next(self._numbers)
        pending = pending._replace(
            holder=holder.name,
            reply_deadline=min(now + REPLY_TIMEOUT_S, pending.deadline),
        )
        self._pending[number] = pending
        customer = pending.limit.customer
        wanted = self._spare_tokens.count_wanted(customer, now)
        message = quota_messages.TokenRequest(
            customer, pending.slot, number, self.settings.start_id, wanted
        )
        self._messages.append(
            quota_messages.SendMessage(message, holder.address)
        )
        return pending

    def _handle_token_request(
        self, request: quota_messages.TokenRequest, sender: str, now: float
    ) -> None:
        """Grant tokens of a slot that this host holds, else send no reply."""
        if not self._holders.find_host_name(sender) or self._find_wait():
            return
        grant = self._grant_tokens(request, now)
        if grant is not None:
            message = quota_messages.TokenReply(
                request.number, request.start_id, *grant
            )
            self._messages.append(quota_messages.SendMessage(message, sender))

    def _grant_tokens(
        self, request: quota_messages.TokenRequest, now: float
    ) -> quota_buckets.Grant | None:
        customer = self._customers.get(request.customer)
        if (
            customer is None
            or customer.rate <= 0
            or self.settings.quota is None
        ):
            # One of the two hosts has an older configuration.
            return quota_buckets.Grant(0, NO_HOLDER_RETRY_S)
        limit = quota_slots.make_limit(customer)
        slots = _split_quota(limit, self.settings)
        if not self._holders.holds_slot(limit, slots, request.slot):
            return None
        wanted = min(quota_tokens.MAX_WANTED_TOKENS, request.wanted)
        share = slots.shares[request.slot]
        return self.buckets.grant(limit, request.slot, share, wanted, now)

    def _handle_token_reply(
        self, reply: quota_messages.TokenReply, sender: str, now: float
    ) -> None:
        pending = self._pending.get(reply.number)
        if pending is None or reply.start_id != self.settings.start_id:
            return
        if self._holders.find_host_name(sender) != pending.holder:
            return
        self._pending.pop(reply.number)
        self._holders.record_reply(pending.holder)
        grant = quota_buckets.Grant(reply.granted, reply.wait)
        result: ChargeResult | None = self._record_grant(pending, grant, now)
        if result is None:
            updated = _add_slot_wait(pending, self._holders, now)
            result = self._ask_next_holder(updated, now)
        self._decisions.extend(_list_decisions(result, pending))

    def _record_grant(
        self, pending: PendingRequest, grant: quota_buckets.Grant, now: float
    ) -> active_requests.RoutedRequest | None:
        """Record tokens of a holder; None if it granted none."""
        customer = pending.limit.customer
        if not grant.tokens:
            self._holders.record_empty(customer, pending.slot, grant.wait, now)
            return None
        expires = now + quota_tokens.TOKEN_LIFETIME_S
        self._spent[pending.routed.number] = SpentToken(customer, expires)
        spare_count = min(grant.tokens, quota_tokens.MAX_WANTED_TOKENS) - 1
        self._spare_tokens.add(customer, spare_count, expires)
        return pending.routed


def _is_holder(
    holders: quota_holders.Holders,
    customers: Mapping[str, configs.Customer],
    settings: Settings,
    name: str,
    slot: int,
) -> bool:
    """Return whether this host holds a slot of the named customer."""
    customer = customers.get(name)
    if customer is None or settings.quota is None:
        return False
    limit = quota_slots.make_limit(customer)
    return holders.holds_slot(limit, _split_quota(limit, settings), slot)


def _split_quota(
    limit: quota_slots.Limit, settings: Settings
) -> quota_slots.Slots:
    assert settings.quota is not None
    return quota_slots.split_quota(limit, settings.quota, settings.data_centres)


def _add_slot_wait(
    pending: PendingRequest, holders: quota_holders.Holders, now: float
) -> PendingRequest:
    """Add the wait of the slot that was tried, if it is known to be empty."""
    if not holders.is_empty(pending.limit.customer, pending.slot, now):
        return pending
    wait = holders.reserve_wait(pending.limit, pending.slot, now)
    return pending._replace(slot_waits=(*pending.slot_waits, wait))


def _list_decisions(
    result: ChargeResult, pending: PendingRequest
) -> list[Decision]:
    match result:
        case active_requests.RoutedRequest():
            return [Decision(result, None)]
        case errors.Failure():
            return [Decision(pending.routed, result)]
    return []


def _make_refusal(pending: PendingRequest) -> errors.Failure:
    """Return the failure for a request that no holder has a token for."""
    limit = pending.limit
    detail = f'{limit.customer}: {limit.rate:g}/s, burst {limit.burst:g}'
    if not pending.slot_waits:
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            f'{detail}; no holder of its quota answers',
            retry_after=NO_HOLDER_RETRY_S,
        )
    spread = 1 + SPREAD_FRACTION * _hash_fraction(
        pending.routed.request.request_id
    )
    wait = min(MAX_RETRY_AFTER_S, min(pending.slot_waits)) * spread
    return errors.make_failure(
        errors.Kind.OVER_QUOTA,
        SOURCE,
        f'{detail}; {len(pending.slot_waits)} slots are empty',
        retry_after=round(max(wait, MIN_RETRY_AFTER_S), WAIT_DIGITS),
    )


def _hash_fraction(name: str) -> float:
    """Hash a request id to a number from 0 to 1."""
    return zlib.crc32(name.encode()) / MAX_CRC32
