"""Apply the events that change what a host knows, and send nothing."""

from fuchsiahaven.routing import (
    configs,
    events,
    quota_messages,
    states,
    stop_schedules,
    stops,
)


def apply(router: states.Router, event: events.Event, now: float) -> None:
    """Apply a change of configuration, hosts or quotas, or a planned stop."""
    match event:
        case quota_messages.MessageReceived():
            router.controls.quotas.handle_message(event, now)
        case events.ConfigurationReceived(configuration):
            if configuration.version > router.index.configuration.version:
                router.index = configs.build_index(configuration)
                router.update_wide_centres()
                customers = configuration.customers or ()
                router.controls.quotas.update_customers(customers, now)
        case events.HostsChanged():
            _update_hosts(router, event, now)
        case stop_schedules.StopRequested():
            stops.begin_stop(router, event)


def _update_hosts(
    router: states.Router, event: events.HostsChanged, now: float
) -> None:
    hosts = event.hosts
    router.host_count = max(1, event.host_count)
    router.controls.load_shares.update_hosts(
        router.host_count,
        now,
        router.extra_load.window_s,
        is_listed=any(it.name == router.host.name for it in hosts),
    )
    router.hosts = tuple(it for it in hosts if it.name != router.host.name)
    router.centre_health.update_hosts((*router.hosts, router.host))
    router.controls.lags.update_hosts(hosts)
    router.warmups.update_hosts(hosts, now)
    router.controls.quotas.update_hosts(hosts, now)
