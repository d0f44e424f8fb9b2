"""Test how hosts of a data centre report other, silent data centres."""

import time

import pytest

from fuchsiahaven.relay import process, silence_reports
from fuchsiahaven.routing import centre_health, events
from tests.relay import clusters, servers


def put_customers(host: process.Process) -> None:
    """Put a configuration with customers in force on a host."""
    configuration = host.router.index.configuration._replace(
        version=1_000_000, customers=()
    )
    host.runner.post(events.ConfigurationReceived(configuration))


def silence_north(host: process.Process) -> None:
    """Make a host send requests to the north without any response."""
    for name in ('a', 'b', 'c'):
        host.router.centre_health.record_sent('north', name, time.monotonic())


def test_reports_and_withdraws_silence() -> None:
    """Guard against some hosts that stay ready in a partitioned centre."""

    async def check() -> None:
        async with clusters.make() as cluster:
            await cluster.add_hosts('host-0', 'host-1', 'host-2')
            *reporters, receiver = cluster.hosts
            for host in reporters:
                put_customers(host)
                silence_north(host)
            health = receiver.router.centre_health
            await servers.wait_for(lambda: health.is_silent('north'))
            assert not health.list_observed()
            reporters[0].router.centre_health.record_contact('north')
            await servers.wait_for(lambda: not health.is_silent('north'))

    servers.run(check())


def test_encodes_and_decodes_a_report() -> None:
    """A decoded report equals the encoded one."""
    report = centre_health.SilenceReport('host-1', 'south', ('north', 'west'))
    assert (
        silence_reports.decode_report(silence_reports.encode_report(report))
        == report
    )


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'[]',
        b'{}',
        b'{"host":"a","data_centre":"north"}',
        b'{"host":"a","data_centre":7,"silent":[]}',
        b'{"host":7,"data_centre":"north","silent":[]}',
        b'{"host":"a","data_centre":"north","silent":[7]}',
        b'{"host":"a","data_centre":"north","silent":"south"}',
        b'{"host":"a","data_centre":"north","silent":[%s]}'
        % b','.join([b'"a"'] * 300),
    ],
)
def test_rejects_malformed_reports(text: bytes) -> None:
    """Malformed reports do not take a data centre out of service."""
    with pytest.raises(ValueError):
        silence_reports.decode_report(text)
