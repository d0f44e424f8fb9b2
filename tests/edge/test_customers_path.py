"""Test keys from the operator's command to the targets, over loopback."""

import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, Final, NamedTuple

import pytest
import urllib3

from fuchsiahaven.operate import commands, exit_codes
from tests.edge import test_path

KEY: Final = 'k-9f2c51aa7e'
OTHER: Final = 'k-71d0'
BODY: Final = {'query': {'text': 'combi', 'limit': 3}}
LONGEST_S: Final = 10.0
#: What the settings say.
BOUND_S: Final = 2.0


class Site(NamedTuple):
    """Say where things are, and hold the folder of keys and logs."""

    callers: str
    platform: str
    folder: Path

    def run(self, *words: str) -> int:
        """Run an operator's command."""
        return commands.main([*words, '--platform', self.platform])

    def ask(
        self, *shown: str, name: str = 'price-check'
    ) -> urllib3.BaseHTTPResponse:
        """Ask, showing these fields."""
        fields = urllib3.HTTPHeaderDict()
        for told in shown:
            fields.add('Authorization', told)
        return urllib3.request(
            'POST',
            f'{self.callers}/v1/search',
            json={'class': name, **BODY},
            headers=fields,
        )

    def control(self, **order: bool) -> None:
        """Have the platform be away or there."""
        url = f'http://{self.platform}/control'
        assert urllib3.request('POST', url, json=order).status < 300

    def wait_for(self, status: int, *shown: str) -> None:
        """Ask until the answer has a status."""
        give_up = time.monotonic() + LONGEST_S
        while self.ask(*shown).status != status:
            assert time.monotonic() < give_up, status
            time.sleep(0.05)


def start_host(
    stack: contextlib.ExitStack, folder: Path, log: BinaryIO
) -> None:
    """Start an entry host whose output goes to a log."""
    words = ('-m', 'fuchsiahaven', 'serve', '--settings')
    host = subprocess.Popen(
        (sys.executable, *words, str(folder / 'host.ini')),
        stdout=log,
        stderr=log,
    )
    stack.enter_context(host)
    stack.callback(host.terminate)


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run an entry host of Santiago that needs keys."""
    first = test_path.find_ports()
    last = first + test_path.PORTS
    folder = tmp_path_factory.mktemp('keys')
    (folder / 'host.ini').write_text(
        test_path.SETTINGS.format(
            callers=last - 2,
            peers=last - 3,
            metrics=last - 4,
            platform=last - 1,
        )
        + '[logs]\nverbosity = debug\n[customers]\nrevoke_s = 2\n'
    )
    (folder / 'key').write_text(f'{KEY}\n')
    (folder / 'other').write_text(f'{OTHER}\n')
    layout = ('--deployment', 'santiago', '--first-port', str(first))
    found = Site(
        f'http://127.0.0.1:{last - 2}', f'127.0.0.1:{last - 1}', folder
    )
    with contextlib.ExitStack() as stack:
        parts = [
            test_path.start(
                stack, 'standins', 'platform', '--port', str(last - 1), *layout
            ),
            test_path.start(stack, 'standins', 'searchers', *layout),
        ]
        for part in parts:
            assert part.stdout and part.stdout.readline().startswith('ready')
        assert not found.run('customer', 'set', 'shop', 'rate=0')
        log = stack.enter_context((folder / 'log').open('wb'))
        start_host(stack, folder, log)
        retries = test_path.wait_for(503)
        urllib3.request('GET', f'{found.callers}/readyz', retries=retries)
        yield found


def read_kind(answer: urllib3.BaseHTTPResponse) -> Any:
    return answer.json()['error']['kind']


def test_a_key_is_good_from_its_addition_until_it_is_taken_away(
    site: Site, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a key that is stored, logged or echoed in clear."""
    shown = f'Bearer {KEY}'
    refused = site.ask(shown)
    assert refused.status == 401
    assert refused.headers['WWW-Authenticate'] == 'Bearer'
    assert (read_kind(refused), KEY in refused.data.decode()) == (
        'unknown_key',
        False,
    )
    keys = ('--keys', str(site.folder / 'key'))
    assert not site.run('customer', 'add-keys', 'shop', *keys)
    site.wait_for(200, shown)
    answer = site.ask(f'bearer  {KEY}').json()
    assert answer['status'] == 'complete'
    at = ('--at', site.callers.removeprefix('http://'))
    asked = ('query', *at, 'price-check', '--customer-key')
    assert (
        commands.main([*asked, str(site.folder / 'key')]) == exit_codes.SUCCESS
    )
    assert (
        commands.main([*asked, str(site.folder / 'other')]) == exit_codes.FAILED
    )
    site.run('customer', 'show', 'shop')
    site.run('history')
    assert not site.run('customer', 'remove-keys', 'shop', *keys)
    site.wait_for(401, shown)
    told = capsys.readouterr()
    assert KEY not in told.out + told.err
    assert KEY not in (site.folder / 'log').read_text()
    stored = urllib3.request(
        'GET', f'http://{site.platform}/v1/keys/configuration/manifest'
    )
    assert KEY not in stored.data.decode()


@pytest.mark.parametrize(
    'shown',
    [
        (),
        ('',),
        (f'Basic {OTHER}',),
        (f'Bearer {OTHER} {OTHER}',),
        (f'Bearer {OTHER}', f'Bearer {OTHER}'),
        (f'Bearer {OTHER}', 'Bearer a'),
        ('Bearer a', f'Bearer {OTHER}'),
        (f'Bearer  {OTHER}x',),
        ('Bearer \xff\xfe',),
    ],
)
def test_whatever_is_no_single_key_is_refused(
    site: Site, shown: tuple[str, ...]
) -> None:
    site.run(
        'customer', 'add-keys', 'shop', '--keys', str(site.folder / 'other')
    )
    site.wait_for(200, f'Bearer {OTHER}')
    answer = site.ask(*shown)
    assert (answer.status, read_kind(answer)) == (401, 'unknown_key')
    assert answer.json()['error']['ran'] == 'no'


def test_a_key_of_eight_kilobytes_is_too_large_for_a_head(site: Site) -> None:
    assert site.ask(f'Bearer {"k" * 8192}').status == 413


def test_a_public_class_takes_requests_without_a_key(site: Site) -> None:
    assert not site.run('class', 'set', 'price-check', 'public=yes')
    site.wait_for(200)
    assert site.ask('Bearer unknown').status == 200
    refused = site.ask(name='no-such')
    assert refused.status == 401
    assert not site.run('class', 'set', 'price-check', 'public=no')
    site.wait_for(401)


def test_keys_are_refused_in_time_while_the_platform_is_away(
    site: Site,
) -> None:
    """Guard against a host out of touch that goes on taking keys."""
    shown = f'Bearer {OTHER}'
    keys = ('--keys', str(site.folder / 'other'))
    site.run('customer', 'add-keys', 'shop', *keys)
    site.run('class', 'set', 'quick-lookup', 'public=yes')
    site.wait_for(200, shown)
    site.control(down=True)
    went = time.monotonic()
    site.wait_for(503, shown)
    assert time.monotonic() - went < BOUND_S + 0.5
    refused = site.ask(shown)
    assert read_kind(refused) == 'stale_keys'
    assert int(refused.headers['Retry-After'])
    assert site.ask(name='quick-lookup').status == 200
    ready = urllib3.request('GET', f'{site.callers}/readyz')
    assert (ready.status, b'keys' in ready.data) == (503, True)
    site.control(down=False)
    site.wait_for(200, shown)
