"""Test delegated requests, on the delegating host and on the helper."""

import pytest

from fuchsiahaven.routing import (
    configs,
    delegation_codecs,
    delegation_plans,
    delegations,
    deployments,
    events,
)
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 2, 0.8))
HELPER = deployments.Host('host-9', '10.0.9.1:7000', 'south')


def make_record(letter: str) -> bytes:
    """Make a record of 16 bytes."""
    return letter.encode() * 16


def make_rig() -> router_rig.Rig:
    """Make a host in the north whose shards have all targets in the south."""
    targets = router_rig.make_instances(SHARDS, 2, 'south')
    rig = router_rig.Rig([SEARCH], targets)
    rig.post(events.HostsChanged(2, (router_rig.HOST, HELPER)))
    return rig


def pop_delegate(rig: router_rig.Rig) -> events.Delegate:
    """Remove and return the one delegated request."""
    (delegate,) = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    rig.other_actions = []
    return delegate


def make_report(
    services: tuple[str, ...], body: bytes = b'', *, last: bool = False
) -> events.DelegationReport:
    """Make a report of answered parts."""
    parts = tuple(events.ReceivedPart(it, f'signed {it}') for it in services)
    return events.DelegationReport(parts, body, (), (), last)


def test_sends_one_request_for_all_remote_parts() -> None:
    """Only one request and the merged records cross data centres."""
    rig = make_rig()
    rig.send_request()
    delegate = pop_delegate(rig)
    assert not rig.pop_sent()
    assert set(delegate.delegated.services) == set(SHARDS)
    body = make_record('b') + make_record('a')
    report = make_report(SHARDS, body, last=True)
    rig.post(events.DelegationReportReceived(delegate.key, report))
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert (outcome.body, outcome.missing) == (body, 0)
    assert len(set(outcome.signatures)) == 10


def test_hedges_parts_that_are_pending_at_a_helper() -> None:
    """The hedge goes to another target than the one the helper waits for."""
    rig = make_rig()
    rig.send_request()
    delegate = pop_delegate(rig)
    pending_part = events.MissingPart(
        SHARDS[0], f'{SHARDS[0]}-0', may_have_arrived=True
    )
    report = make_report(SHARDS[1:])._replace(pending=(pending_part,))
    rig.post(events.DelegationReportReceived(delegate.key, report))
    rig.advance_time(0)
    (hedge,) = rig.pop_sent()
    assert hedge.instance.name == f'{SHARDS[0]}-1'
    rig.answer(hedge, make_record('z'))
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert outcome.body == make_record('z')


@pytest.mark.parametrize(
    ('may_have_arrived', 'retry_count'), [(True, 0), (False, 10)]
)
def test_sends_parts_directly_when_a_helper_fails(
    may_have_arrived: bool, retry_count: int
) -> None:
    """Guard against queries that fail while a dead host is asked for help.

    The parts are sent to targets directly. If the helper may have sent them,
    this is their second attempt, and no third one follows.
    """
    rig = make_rig()
    rig.send_request()
    delegate = pop_delegate(rig)
    rig.post(
        events.DelegationFailed(delegate.key, may_have_arrived, 'status 503')
    )
    sent = rig.pop_sent()
    assert {send.key.service for send in sent} == set(SHARDS)
    for send in sent:
        rig.break_attempt(send)
    assert len(rig.pop_sent()) == retry_count
    # A helper that failed is left out for a while.
    rig.send_request()
    assert not any(isinstance(it, events.Delegate) for it in rig.other_actions)


def test_logs_why_a_helper_is_left_out() -> None:
    """Guard against a log without the reason why a helper failed.

    A helper that is stopping, one that is cut off and one with malformed
    answers cannot be told apart without it.
    """
    rig = make_rig()
    rig.send_request()
    delegate = pop_delegate(rig)
    rig.post(events.DelegationFailed(delegate.key, False, 'status 503'))
    reasons = [
        it.reason
        for it in rig.other_actions
        if isinstance(it, events.TargetStatusReport)
    ]
    assert reasons == ['no help: status 503']


def test_sends_parts_directly_when_a_helper_is_silent() -> None:
    """Guard against queries that wait for a paused or unreachable helper.

    Without a report at half of the objective, all parts are sent to targets. A
    later report of the helper is not merged with their answers.
    """
    rig = make_rig()
    rig.send_request()
    delegate = pop_delegate(rig)
    rig.advance_time(0.045)
    assert not rig.pop_sent()
    rig.advance_time(0.02)
    sent = rig.pop_sent()
    assert len(sent) == 10
    rig.answer(sent[0], make_record('q'))
    late_report = make_report(SHARDS, make_record('z') * 2, last=True)
    rig.post(events.DelegationReportReceived(delegate.key, late_report))
    for send in sent[1:]:
        rig.answer(send, make_record('p'))
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert outcome.body == make_record('q') + make_record('p')


def test_waits_for_helpers_on_small_hosts() -> None:
    """Guard against hedges of all 90 parts at an objective of 59 ms.

    Two busy hosts with a third of a core take 10 ms and more to process their
    share of a query. A helper that counts as lost 6 ms after its report is due
    causes hedges of all its parts, which delay the reading of the first answers
    on the delegating host.
    """
    route = SEARCH._replace(objective=0.059)
    targets = router_rig.make_instances(SHARDS, 2, 'south')
    rig = router_rig.Rig([route], targets)
    rig.post(events.HostsChanged(2, (router_rig.HOST, HELPER)))
    rig.send_request()
    rig.advance_time(0.04)
    assert not rig.pop_sent()
    rig.advance_time(0.01)
    assert len(rig.pop_sent()) == 10


def test_dismisses_a_helper_when_the_caller_leaves() -> None:
    """Guard against work at a helper and its targets for an absent caller."""
    rig = make_rig()
    number = rig.send_request()
    delegate = pop_delegate(rig)
    rig.post(events.RequestAbandoned(number))
    assert events.CancelDelegation(delegate.key) in rig.other_actions


def test_does_not_leave_out_a_dismissed_helper() -> None:
    """Guard against parts that cross data centres one by one as callers leave.

    The closed connection to a dismissed helper looks like one of a failed
    helper, which is left out for two seconds.
    """
    rig = make_rig()
    number = rig.send_request()
    delegate = pop_delegate(rig)
    rig.post(events.RequestAbandoned(number))
    rig.post(events.DelegationFailed(delegate.key, True, 'connection_lost'))
    rig.other_actions = []
    rig.send_request()
    assert pop_delegate(rig).helper == HELPER


def test_does_not_delegate_few_parts() -> None:
    """Delegating costs more than it saves for few parts."""
    few_parts = delegation_plans.MIN_DELEGATED_PARTS - 1
    near = router_rig.make_instances(SHARDS[few_parts:])
    far = router_rig.make_instances(SHARDS[:few_parts], 2, 'south')
    rig = router_rig.Rig([SEARCH], [*near, *far])
    rig.post(events.HostsChanged(2, (router_rig.HOST, HELPER)))
    rig.send_request()
    assert len(rig.pop_sent()) == 10


class HelperRig:
    """Own a helper that gathers parts for another host."""

    def __init__(self) -> None:
        """Start one delegated request."""
        self.rig = router_rig.Rig([], router_rig.make_instances(SHARDS))
        now = self.rig.now
        request = events.Request(
            'id-1', 'GET', '/search/1', '', (), b'', now, now + 0.8
        )
        self.delegated = events.DelegatedRequest(
            request, 'route', 0.1, 2, SHARDS, now + 0.8
        )
        self.rig.post(events.DelegatedRequestReceived(1, self.delegated))
        self.sent = self.rig.pop_sent()

    def pop_reports(self) -> list[events.DelegationReport]:
        """Remove and return the reports to the delegating host."""
        actions = [
            it
            for it in self.rig.other_actions
            if isinstance(it, events.SendDelegationReport)
        ]
        self.rig.other_actions = []
        return [action.report for action in actions]


def test_sends_all_parts_merged_once_all_are_in() -> None:
    """One report holds the greatest records of all parts."""
    helper_rig = HelperRig()
    for position, send in enumerate(helper_rig.sent):
        helper_rig.rig.answer(send, make_record('abcdefghij'[position]))
    (report,) = helper_rig.pop_reports()
    assert report.is_last
    assert len(report.parts) == 10
    assert report.body == make_record('j') + make_record('i')


def test_sends_a_partial_report_when_most_parts_should_be_in() -> None:
    """Slow parts are listed as pending and later reported one by one."""
    helper_rig = HelperRig()
    for send in helper_rig.sent[2:]:
        helper_rig.rig.answer(send)
    assert not helper_rig.pop_reports()
    helper_rig.rig.advance_time(0.045)
    (report,) = helper_rig.pop_reports()
    assert (len(report.parts), report.is_last) == (8, False)
    assert {part.service for part in report.pending} == {
        send.key.service for send in helper_rig.sent[:2]
    }
    helper_rig.rig.answer(helper_rig.sent[0], make_record('x'))
    (late_report,) = helper_rig.pop_reports()
    assert (late_report.body, late_report.is_last) == (make_record('x'), False)
    helper_rig.rig.answer(helper_rig.sent[1])
    assert helper_rig.pop_reports()[-1].is_last


def test_marks_the_report_of_the_last_part_as_last() -> None:
    """A separate end message would cost the receiver as much as a part."""
    helper_rig = HelperRig()
    for send in helper_rig.sent[2:]:
        helper_rig.rig.answer(send)
    helper_rig.rig.advance_time(0.045)
    helper_rig.pop_reports()
    for send, last in zip(helper_rig.sent[:2], (False, True), strict=True):
        helper_rig.rig.answer(send)
        (report,) = helper_rig.pop_reports()
        assert (len(report.parts), report.is_last) == (1, last)


def test_sends_each_part_once_and_reports_lost_parts() -> None:
    """The delegating host decides on retries."""
    helper_rig = HelperRig()
    helper_rig.rig.break_attempt(helper_rig.sent[0])
    helper_rig.rig.refuse(helper_rig.sent[1])
    assert not helper_rig.rig.pop_sent()
    for send in helper_rig.sent[2:]:
        helper_rig.rig.answer(send)
    (report,) = helper_rig.pop_reports()
    assert {part.service for part in report.lost} == {
        send.key.service for send in helper_rig.sent[:2]
    }
    assert all(part.may_have_arrived for part in report.lost)


def test_ends_a_delegated_request_at_its_deadline() -> None:
    """Guard against state on a helper after the caller's deadline."""
    helper_rig = HelperRig()
    helper_rig.rig.advance_time(0.9)
    reports = helper_rig.pop_reports()
    assert reports[-1].is_last
    assert len(reports[-1].lost) == 10
    assert not helper_rig.rig.router.active_requests


def test_decodes_what_it_encodes() -> None:
    """Delegated requests and reports are equal after encoding."""
    helper_rig = HelperRig()
    now = helper_rig.rig.now
    text = delegation_codecs.encode_request(helper_rig.delegated, now)
    read = delegation_codecs.decode_request(text, now)
    assert read.services == helper_rig.delegated.services
    assert abs(read.deadline - helper_rig.delegated.deadline) < 0.002
    part = events.MissingPart('a', 'b', may_have_arrived=False)
    report = make_report(SHARDS, make_record('a'))._replace(pending=(part,))
    line = delegation_codecs.encode_report(report)
    assert line.count(b'\n') == 1
    assert delegation_codecs.decode_report(line) == report


def test_dismisses_a_helper_without_any_report_at_the_end() -> None:
    """Guard against targets that get parts of queries answered long ago.

    A helper that was paused resumes its delegated requests after the queries
    have been answered without it, and sends their parts.
    """
    rig = make_rig()
    rig.send_request()
    delegate = pop_delegate(rig)
    rig.advance_time(0.07)
    for send in rig.pop_sent():
        rig.answer(send)
    assert rig.replies
    assert events.CancelDelegation(delegate.key) in rig.other_actions
    rig.replies = []
    rig.send_request()
    assert not any(isinstance(it, events.Delegate) for it in rig.other_actions)


WIDE = tuple(f'wide-{number:02}' for number in range(45))
FLEET = [
    deployments.Host(f'host-{number}', f'10.0.9.{number}:7000', 'north')
    for number in range(2, 64)
]


def make_wide_rig(
    coverage: float = 0.95, objective: float = 0.1
) -> router_rig.Rig:
    """Make one of 63 hosts with two near targets of each shard."""
    route = router_rig.make_route(configs.Gather(WIDE, 2, coverage))
    route = route._replace(objective=objective)
    rig = router_rig.Rig([route], router_rig.make_instances(WIDE, 2))
    rig.post(events.HostsChanged(63, (router_rig.HOST, *FLEET)))
    return rig


def pop_delegates(rig: router_rig.Rig) -> list[events.Delegate]:
    """Remove and return the delegated requests since the last call."""
    delegates = [
        it for it in rig.other_actions if isinstance(it, events.Delegate)
    ]
    rig.other_actions = []
    return delegates


def test_delegates_retries_to_the_assigned_hosts() -> None:
    """Guard against queries that fail although targets could answer them.

    Half of the targets lose two in five answers. A single host has one 63rd of
    the bound on extra load, which allows less than one retry in ten seconds, so
    it would give up the parts. The assigned hosts may retry several times.
    """
    rig = make_wide_rig()
    rig.send_request()
    first = pop_delegates(rig)
    for delegate in first:
        services = delegate.delegated.services
        lost = tuple(
            events.MissingPart(it, f'{it}-0', may_have_arrived=True)
            for it in services[:6]
        )
        report = make_report(services[6:], last=True)._replace(lost=lost)
        rig.post(events.DelegationReportReceived(delegate.key, report))
    assert not rig.replies
    retries = pop_delegates(rig)
    assert {it.delegated.is_retry for it in retries} == {True}
    assert all(it.delegated.counts_load for it in retries)
    failed_services = {it for one in first for it in one.delegated.services[:6]}
    assert {
        it for one in retries for it in one.delegated.services
    } == failed_services
    for delegate in retries:
        assert {f'{it}-0' for it in delegate.delegated.services} <= set(
            delegate.delegated.avoided_targets
        )
        report = make_report(delegate.delegated.services, last=True)
        rig.post(events.DelegationReportReceived(delegate.key, report))
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert not outcome.missing


def make_partial_report(
    delegate: events.Delegate, pending_count: int
) -> events.DelegationReport:
    """Make a report in which the first `pending_count` parts are pending."""
    services = delegate.delegated.services
    pending = tuple(
        events.MissingPart(it, f'{it}-0', may_have_arrived=True)
        for it in services[:pending_count]
    )
    return make_report(services[pending_count:])._replace(pending=pending)


@pytest.mark.parametrize(
    ('elapsed_s', 'pending_count', 'hedge_count'),
    [(0.03, 12, 12), (0.046, 12, 3), (0.046, 9, 0), (0.07, 12, 3)],
)
def test_hedges_late_parts_only_as_coverage_needs(
    elapsed_s: float, pending_count: int, hedge_count: int
) -> None:
    """Guard against late answers of small hosts due to needless hedges.

    Of 45 parts 9 may be missing. Hedges sent a few milliseconds before the
    answer is decided do not return in time, and reading their results delays
    the answer. Hedges are still needed if too few parts are in for any answer.
    """
    rig = make_wide_rig(0.8, 0.059)
    rig.send_request()
    first = pop_delegates(rig)
    rig.now += elapsed_s
    for delegate in first:
        report = make_partial_report(delegate, pending_count)
        pending_count -= len(report.pending)
        rig.post(events.DelegationReportReceived(delegate.key, report))
    rig.advance_time(0)
    sent = [it.key.service for it in rig.pop_sent()]
    for second in pop_delegates(rig):
        sent.extend(second.delegated.services)
    assert len(sent) == hedge_count


def test_gives_a_part_up_after_its_last_attempt() -> None:
    """The route allows two attempts."""
    rig = make_wide_rig()
    rig.send_request()
    for attempt in range(2):
        delegates = pop_delegates(rig)
        assert delegates
        for delegate in delegates:
            lost = tuple(
                events.MissingPart(it, f'{it}-{attempt}', may_have_arrived=True)
                for it in delegate.delegated.services
            )
            report = make_report((), last=True)._replace(lost=lost)
            rig.post(events.DelegationReportReceived(delegate.key, report))
    assert not pop_delegates(rig)
    assert not rig.pop_sent()
    assert rig.replies


def return_chunk(rig: router_rig.Rig) -> tuple[str, list[events.Delegate]]:
    """Return the parts of a chunk unsent.

    The result is the name of the helper and the requests that follow.
    """
    rig.send_request()
    first = pop_delegates(rig)[0]
    lost = tuple(
        events.MissingPart(it, '', may_have_arrived=False)
        for it in first.delegated.services
    )
    report = make_report((), last=True)._replace(lost=lost)
    rig.post(events.DelegationReportReceived(first.key, report))
    return first.helper.name, pop_delegates(rig)


def test_returned_parts_go_to_the_other_assigned_host() -> None:
    """Guard against parts that go back and forth with an overloaded host."""
    rig = make_wide_rig()
    (route,) = rig.router.index.configuration.routes
    public = route._replace(public=True)
    rig.configure(2, [public], (configs.Customer('hot', ('key',)),))
    helper, retries = return_chunk(rig)
    (delegate,) = retries
    assert delegate.helper.name != helper
    assert not delegate.delegated.is_retry
    assert not rig.pop_sent()


def test_returned_parts_go_to_the_same_host_without_customers() -> None:
    """Without customers a helper that returns parts is not left out."""
    helper, retries = return_chunk(make_wide_rig())
    assert [it.helper.name for it in retries] == [helper]


def make_customer_rig() -> router_rig.Rig:
    """Make one of 63 hosts in a deployment with customers."""
    rig = make_wide_rig()
    (route,) = rig.router.index.configuration.routes
    public = route._replace(public=True)
    rig.configure(2, [public], (configs.Customer('hot', ('key',)),))
    return rig


def test_parts_queued_at_a_host_that_dies_are_retried_at_once() -> None:
    """Guard against the loss of parts in the queue of a dead host."""
    rig = make_customer_rig()
    rig.send_request()
    first = pop_delegates(rig)[0]
    rig.pop_sent()
    rig.post(
        events.DelegationFailed(
            first.key, may_have_arrived=True, cause='broken'
        )
    )
    retried_services = {it.key.service for it in rig.pop_sent()}
    for delegate in pop_delegates(rig):
        assert delegate.helper.name != first.helper.name
        retried_services.update(delegate.delegated.services)
    assert retried_services == set(first.delegated.services)


def test_answers_while_hosts_return_all_parts_unsent() -> None:
    """Guard against queries passed between hosts that send no parts."""
    rig = make_customer_rig()
    for _ in range(20):
        rig.send_request()
        rounds = 0
        while delegates := pop_delegates(rig):
            rounds += 1
            assert rounds <= 4
            for delegate in delegates:
                services = delegate.delegated.services
                lost = tuple(
                    events.MissingPart(it, '', may_have_arrived=False)
                    for it in services
                )
                report = make_report((), last=True)._replace(lost=lost)
                rig.post(events.DelegationReportReceived(delegate.key, report))
        for send in rig.pop_sent():
            rig.answer(send, make_record('a'))
        outcome = rig.pop_outcome()
        assert isinstance(outcome, events.MergedAnswer)
        assert outcome.missing == 0
        rig.advance_time(1)


def make_refusal(
    delegate: events.Delegate,
    fault: events.HelperFault = events.HelperFault.STARTING,
) -> events.DelegationFailed:
    """Make the failure of a delegated request."""
    return events.DelegationFailed(delegate.key, False, 'status', fault)


def count_hosts_asked(
    rig: router_rig.Rig, delegates: list[events.Delegate]
) -> int:
    """Refuse delegated requests as starting hosts; count the hosts asked."""
    asked_hosts = set()
    while delegates:
        delegate = delegates.pop()
        asked_hosts.add(delegate.helper.name)
        rig.post(make_refusal(delegate))
        delegates += pop_delegates(rig)
    return len(asked_hosts)


def test_asks_the_next_assigned_hosts_while_a_fleet_starts() -> None:
    """Guard against late answers for two seconds after a restart of all hosts.

    The assigned hosts have just started and know no targets. If each host sends
    all 45 parts itself, 63 hosts open connections to targets that accept 54.
    """
    rig = make_wide_rig()
    rig.send_request()
    first = pop_delegates(rig)
    chunk_count = len(first)
    rig.post(make_refusal(first[0]))
    retries = pop_delegates(rig)
    (delegated_services,) = [set(it.delegated.services) for it in retries]
    assert delegated_services == set(first[0].delegated.services)
    assert retries[0].helper != first[0].helper
    assert not retries[0].delegated.is_retry
    assert not rig.pop_sent()
    # In the end it has to send the parts itself.
    asked_host_count = count_hosts_asked(rig, [*first[1:], *retries])
    assert asked_host_count <= chunk_count * delegations.MAX_PART_SENDINGS
    assert {send.key.service for send in rig.pop_sent()} == set(WIDE)


def test_soon_asks_a_host_again_that_has_just_started() -> None:
    """A starting host is ready in a moment, a stopping one is not."""
    faults = events.HelperFault
    for fault, left_out in (
        (faults.STARTING, False),
        (faults.REFUSED, True),
    ):
        rig = make_wide_rig()
        rig.send_request()
        delegate = pop_delegates(rig)[0]
        rig.post(make_refusal(delegate, fault))
        rig.advance_time(delegations.STARTING_HELPER_PAUSE_S + 0.1)
        rig.other_actions = []
        rig.send_request()
        asked_hosts = {it.helper for it in pop_delegates(rig)}
        assert (delegate.helper not in asked_hosts) == left_out


def test_refusals_show_that_a_data_centre_is_reachable() -> None:
    """Guard against a data centre that is left out while its hosts restart.

    Three hosts of the south refuse one after the other because they stop. If
    their refusals count as failed connections, the south looks cut off.
    """
    south = [
        deployments.Host(f'far-{number}', f'10.0.9.{number}:7000', 'south')
        for number in range(3)
    ]
    targets = router_rig.make_instances(SHARDS, 2, 'south')
    rig = router_rig.Rig([SEARCH], targets)
    rig.post(events.HostsChanged(4, (router_rig.HOST, *south)))
    rig.send_request()
    refused = pop_delegates(rig)
    rig.send_request()
    refused += pop_delegates(rig)
    rig.send_request()
    refused += pop_delegates(rig)
    for delegate in refused:
        rig.post(make_refusal(delegate, events.HelperFault.REFUSED))
    assert len({it.helper for it in refused}) == len(south)
    rig.post(events.ReviewDue())
    rig.post(events.ReviewDue())
    assert not rig.router.centre_health.is_silent('south')


def test_bounds_delegations_of_parts_that_may_not_be_retried() -> None:
    """Guard against hosts that only ask each other while targets are slow.

    A part has failed once. The assigned hosts have used up their share of the
    bound on extra load, and each returns the part unsent at once.
    """
    rig = make_wide_rig()
    rig.send_request()
    delegates = pop_delegates(rig)
    may_have_arrived = True
    asked_count = 0
    while delegates and asked_count < 100 * len(WIDE):
        delegate = delegates.pop()
        services = delegate.delegated.services
        asked_count += len(services)
        lost = tuple(
            events.MissingPart(it, '', may_have_arrived) for it in services
        )
        report = make_report((), last=True)._replace(lost=lost)
        may_have_arrived = False
        rig.post(events.DelegationReportReceived(delegate.key, report))
        delegates += pop_delegates(rig)
    assert asked_count <= delegations.MAX_PART_SENDINGS * len(WIDE)
