"""Decide what a host does with each event: `handle(desk, event, now)`."""

from fuchsiahaven.core import errors, rendezvous, request_identities, suspects
from fuchsiahaven.routing import (
    admission,
    arrivals,
    asks,
    assists,
    configs,
    crashes,
    delegations,
    endings,
    events,
    plans,
    quota_words,
    reaches,
    states,
    tries,
)

Actions = list[events.Action]


def handle(desk: states.Desk, event: events.Event, now: float) -> Actions:
    """Take in an event and return what is to be done."""
    actions = _handle(desk, event, now)
    actions.extend(desk.standings.take_changes())
    actions.extend(desk.helpers.take_changes())
    if desk.controls.quotas.has_news:
        actions.extend(_take_quotas(desk, now))
    return actions


def _take_quotas(desk: states.Desk, now: float) -> Actions:
    """Go on with what was decided on by a word about its customer."""
    actions: Actions = []
    decided, told, due = desk.controls.quotas.take_news()
    for taken, failure in decided:
        if failure is None:
            actions.extend(_begin(desk, taken, now))
            continue
        request = taken.request
        asked = admission.find_asked(desk, request)
        failure = admission.advise(desk, failure, request, now)
        refused = endings.refuse(
            taken.number, request, failure, taken.version, now, asked
        )
        actions.extend(refused)
    if due is not None:
        desk.set_timer(due, states.QuotaDue())
    return [*actions, *told]


def _handle(desk: states.Desk, event: events.Event, now: float) -> Actions:
    match event:
        case events.Asked():
            return _take_request(desk, event, now)
        case events.Answered():
            return arrivals.take_answer(desk, event, now)
        case events.Refused():
            return arrivals.take_refusal(desk, event, now)
        case events.Broken():
            return arrivals.take_fault(desk, event, now)
        case events.Unsent():
            return arrivals.take_unsent(desk, event, now)
        case events.Shared():
            return delegations.take_share(desk, event, now)
        case events.Unassisted():
            return delegations.take_failure(desk, event, now)
        case events.Assisted():
            return assists.take(desk, event, now)
        case events.Abandoned(number):
            return endings.abandon(desk, number, now)
        case (
            events.Reached()
            | events.Ended()
            | events.Directed()
            | events.Suspected()
        ):
            return _take_target(desk, event, now)
        case events.Ticked():
            return _tick(desk, now)
        case events.Reviewed():
            return _review(desk, now)
    _learn(desk, event, now)
    return []


def note_replied(desk: states.Desk, reply: events.Reply, now: float) -> None:
    """Take in when a reply was written that waited for its last moment."""
    desk.margin.note(now - reply.due)


def find_obstacle(desk: states.Desk, now: float) -> str:
    """Say why no new work should come to this host; empty if it may."""
    ignorance = find_ignorance(desk)
    if ignorance:
        return ignorance
    if reaches.is_cut_off(desk, now):
        return 'too few targets can be reached'
    if desk.index.configuration.customers is None:
        return ''
    if desk.controls.freshness.compute_wait():
        return 'no recent word of which keys are valid'
    return ''


def find_ignorance(desk: states.Desk) -> str:
    """Say what this host has yet to learn before it can serve anything."""
    if not desk.index.configuration.version:
        return 'no configuration yet'
    if not desk.directory.by_name and not desk.directory.withheld:
        return 'no targets yet'
    return ''


def _review(desk: states.Desk, now: float) -> Actions:
    desk.losses.forget_old(now)
    desk.suspects.expire_suspects(now)
    return [
        events.Belief(name, 'left out', 'the data centre is silent')
        for name in desk.centres.review(now)
    ]


def _take_target(
    desk: states.Desk,
    event: events.Reached | events.Ended | events.Directed | events.Suspected,
    now: float,
) -> Actions:
    match event:
        case events.Reached(instance):
            _reach(desk, instance)
            return crashes.take_reached(desk, instance, now)
        case events.Ended(instance):
            return crashes.take_end(desk, instance, now)
        case events.Directed():
            return _direct(desk, event, now)
        case events.Suspected():
            return crashes.take_news(desk, event, now)


def _reach(desk: states.Desk, instance: str) -> None:
    desk.standings.note_reached(instance)
    known = desk.directory.by_name.get(instance)
    if known is not None:
        desk.centres.note_heard(known.data_centre)


def _direct(desk: states.Desk, event: events.Directed, now: float) -> Actions:
    directory = event.directory
    desk.warmups.note_targets(desk.directory, directory, now)
    desk.directory = directory
    desk.count_wide_centres()
    desk.standings.keep_only(directory.by_name)
    return crashes.take_directory(desk, directory, now)


def _learn(desk: states.Desk, event: events.Event, now: float) -> None:
    match event:
        case quota_words.Heard():
            desk.controls.quotas.hear(event, now)
        case events.Configured(configuration):
            if configuration.version > desk.index.configuration.version:
                desk.index = configs.build_index(configuration)
                desk.count_wide_centres()
                known = configuration.customers or ()
                desk.controls.quotas.note_customers(known, now)
        case events.Counted(total, hosts):
            desk.host_count = max(1, total)
            desk.hosts = tuple(it for it in hosts if it.name != desk.host.name)
            desk.centres.note_hosts((*desk.hosts, desk.host))
            desk.controls.lags.note_hosts(hosts)
            desk.warmups.note_hosts(hosts, now)
            desk.controls.quotas.note_hosts(hosts, now)


def _take_request(
    desk: states.Desk, event: events.Asked, now: float
) -> Actions:
    version = desk.index.configuration.version
    taken = admission.admit(desk, event, now)
    if isinstance(taken, errors.Failure):
        request = event.request
        asked = admission.find_asked(desk, request)
        taken = admission.advise(desk, taken, request, now)
        return endings.refuse(event.ask, request, taken, version, now, asked)
    if isinstance(taken, asks.Taken):
        return _begin(desk, taken, now)
    # It waits for a word about its customer.
    return []


def _begin(desk: states.Desk, taken: asks.Taken, now: float) -> Actions:
    route = taken.route
    services = admission.list_services(desk, route)
    reaches.note_asked(desk, route, now)
    own = desk.margin.estimate(route.way)
    ask = asks.begin(
        taken.number, taken.request, route, taken.version, services, own
    )
    desk.asks[ask.number] = ask
    tries.foresee(desk, ask, now)
    actions: Actions = []
    if not asks.is_hopeless(ask):
        actions = _send_parts(desk, ask, now)
    # What cannot be served is refused before anything is sent, so that the
    # refusal can say that nothing has run.
    over = endings.settle(desk, ask, now)
    if not over:
        _set_timers(desk, ask, now)
    return [*actions, *over]


def _send_parts(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    actions = _delegate_parts(desk, ask, now)
    for service in tries.list_unsent(ask):
        desk.find_budget(service).note_request(now)
    return [*actions, *_send_unsent(desk, ask, now)]


def _delegate_parts(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    """Have other hosts gather what they are to; they ask nobody else."""
    gate = desk.suspects.get_permission(ask.request.identity, now)
    if ask.assists or gate is not suspects.SendPermission.UNRESTRICTED:
        return []
    return [
        delegations.start(desk, ask, planned, now)
        for planned in plans.plan(desk, ask, now)
    ]


def _send_unsent(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    actions: Actions = []
    for service in tries.order_unsent(desk, ask, now):
        actions.extend(tries.send_first(desk, ask, service, now))
    return actions


def _set_timers(desk: states.Desk, ask: asks.Ask, now: float) -> None:
    delay = tries.find_delay(desk, ask)
    desk.set_timer(now + delay, states.HedgeDue(ask.number))
    for when in (ask.cut, ask.ends):
        if when > now:
            desk.set_timer(when, states.CutDue(ask.number))


def _tick(desk: states.Desk, now: float) -> Actions:
    actions: Actions = []
    while (due := desk.pop_due(now)) is not None:
        actions.extend(_take_due(desk, due, now))
    return actions


def _take_due(desk: states.Desk, due: states.Due, now: float) -> Actions:
    match due:
        case states.DoubtDue():
            return crashes.stop_doubting(desk, due, now)
        case states.HeldDue(identity):
            return _resume(desk, identity, now)
        case states.QuotaDue():
            desk.controls.quotas.check(now)
            return []
    ask = desk.asks.get(due.ask)
    if ask is None:
        return []
    match due:
        case states.HedgeDue(_, again):
            return _hedge(desk, ask, now, again=again)
        case states.CutDue():
            return endings.settle(desk, ask, now)


def _resume(
    desk: states.Desk, identity: request_identities.Identity, now: float
) -> Actions:
    """Go on with what waited for the trial of a request."""
    actions: Actions = []
    for number in sorted(desk.suspects.waiting_ids.pop(identity, ())):
        ask = desk.asks.get(number)
        if ask is not None:
            actions.extend(_resume_ask(desk, ask, now))
    return actions


def _resume_ask(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    idle = [it for it in asks.list_open(ask) if asks.is_idle(ask, it)]
    lost = [it for it in idle if ask.parts[it].number]
    refused = admission.refuse_late(desk, ask, now)
    if refused is not None:
        return refused
    # Each request is tried at another of the shards that several have lost.
    ranked = rendezvous.rank(ask.request.identity.digest, lost)
    return [
        *delegations.send_again(desk, ask, ranked, now),
        *_delegate_parts(desk, ask, now),
        *_send_unsent(desk, ask, now),
        *endings.settle(desk, ask, now),
    ]


def _hedge(
    desk: states.Desk, ask: asks.Ask, now: float, *, again: bool
) -> Actions:
    way = ask.route.way
    slow = tries.list_slow(desk, ask, now)
    if again and ask.open:
        # What the budget did not allow now it may allow then, and a second
        # sending may be worth it for what was sent again meanwhile.
        pause = tries.find_delay(desk, ask) / 2
        desk.set_timer(now + pause, states.HedgeDue(ask.number))
    if configs.is_wide_way(way):
        return delegations.hedge(desk, ask, slow, now)
    return tries.hedge_all(desk, ask, slow, now)
