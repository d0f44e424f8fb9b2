"""Test how hosts beside each other learn which data centre is silent."""

import time

import pytest

from fuchsiahaven.relay import process, silences
from fuchsiahaven.routing import centre_health, events
from tests.relay import peers, worlds


def put_customers(host: process.Process) -> None:
    """Have a host know that customers compete."""
    configuration = host.desk.index.configuration._replace(
        version=1_000_000, customers=()
    )
    host.runner.post(events.ConfigurationReceived(configuration))


def lose_north(host: process.Process) -> None:
    """Have a host hear nothing of what it has sent to the north."""
    for name in ('a', 'b', 'c'):
        host.desk.centre_health.record_sent('north', name, time.monotonic())


def test_tells_the_hosts_beside_it_and_takes_it_back() -> None:
    """Symptom: only some hosts of a data centre that is cut off say so."""

    async def check() -> None:
        async with worlds.make() as world:
            await world.add_hosts('host-0', 'host-1', 'host-2')
            *finders, asked = world.hosts
            for host in finders:
                put_customers(host)
                lose_north(host)
            known = asked.desk.centre_health
            await peers.wait_for(lambda: known.is_silent('north'))
            assert not known.list_observed()
            finders[0].desk.centre_health.record_contact('north')
            await peers.wait_for(lambda: not known.is_silent('north'))

    peers.run(check())


def test_the_word_survives_the_way() -> None:
    """What is read is what was written."""
    word = centre_health.SilenceReport('host-1', 'south', ('north', 'west'))
    assert silences.read(silences.write(word)) == word


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
def test_refuses_what_is_no_word(text: bytes) -> None:
    """Nonsense of another host takes no data centre out of service."""
    with pytest.raises(ValueError):
        silences.read(text)
