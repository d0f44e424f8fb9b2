"""Test customers' keys from the operator's command to the targets."""

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
from tests.edge import test_end_to_end

KEY: Final = 'k-9f2c51aa7e'
OTHER_KEY: Final = 'k-71d0'
BODY: Final = {'query': {'text': 'combi', 'limit': 3}}
MAX_WAIT_S: Final = 10.0
#: As in the settings.
REVOKE_S: Final = 2.0


class Site(NamedTuple):
    """Hold the addresses of the system and the folder of keys and logs."""

    callers: str
    platform: str
    folder: Path

    def run(self, *arguments: str) -> int:
        """Run an operator's command."""
        return commands.main([*arguments, '--platform', self.platform])

    def search(
        self, *authorization: str, class_name: str = 'price-check'
    ) -> urllib3.BaseHTTPResponse:
        """Send a search with these Authorization fields."""
        fields = urllib3.HTTPHeaderDict()
        for value in authorization:
            fields.add('Authorization', value)
        return urllib3.request(
            'POST',
            f'{self.callers}/v1/search',
            json={'class': class_name, **BODY},
            headers=fields,
        )

    def control(self, **settings: bool) -> None:
        """Take the platform down or up."""
        url = f'http://{self.platform}/control'
        assert urllib3.request('POST', url, json=settings).status < 300

    def wait_for_status(self, status: int, *authorization: str) -> None:
        """Search until the response has a status."""
        deadline = time.monotonic() + MAX_WAIT_S
        while self.search(*authorization).status != status:
            assert time.monotonic() < deadline, status
            time.sleep(0.05)


def start_host(
    stack: contextlib.ExitStack, folder: Path, log: BinaryIO
) -> None:
    """Start an entry host whose output goes to a log file."""
    arguments = ('-m', 'fuchsiahaven', 'serve', '--settings')
    host = subprocess.Popen(
        (sys.executable, *arguments, str(folder / 'host.ini')),
        stdout=log,
        stderr=log,
    )
    stack.enter_context(host)
    stack.callback(host.terminate)


@pytest.fixture(scope='module')
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run an entry host of Santiago that requires keys."""
    first_port = test_end_to_end.find_free_ports()
    end_port = first_port + test_end_to_end.PORT_COUNT
    folder = tmp_path_factory.mktemp('keys')
    (folder / 'host.ini').write_text(
        test_end_to_end.SETTINGS.format(
            callers=end_port - 2,
            peers=end_port - 3,
            metrics=end_port - 4,
            platform=end_port - 1,
        )
        + '[logs]\nverbosity = debug\n[customers]\nrevoke_s = 2\n'
    )
    (folder / 'key').write_text(f'{KEY}\n')
    (folder / 'other').write_text(f'{OTHER_KEY}\n')
    layout = ('--deployment', 'santiago', '--first-port', str(first_port))
    started_site = Site(
        f'http://127.0.0.1:{end_port - 2}', f'127.0.0.1:{end_port - 1}', folder
    )
    with contextlib.ExitStack() as stack:
        parts = [
            test_end_to_end.start_program(
                stack,
                'standins',
                'platform',
                '--port',
                str(end_port - 1),
                *layout,
            ),
            test_end_to_end.start_program(
                stack, 'standins', 'searchers', *layout
            ),
        ]
        for part in parts:
            assert part.stdout and part.stdout.readline().startswith('ready')
        assert not started_site.run('customer', 'set', 'shop', 'rate=0')
        log = stack.enter_context((folder / 'log').open('wb'))
        start_host(stack, folder, log)
        retries = test_end_to_end.retry_on(503)
        urllib3.request(
            'GET', f'{started_site.callers}/readyz', retries=retries
        )
        yield started_site


def get_kind(answer: urllib3.BaseHTTPResponse) -> Any:
    return answer.json()['error']['kind']


def test_accepts_a_key_until_it_is_removed(
    site: Site, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a key that is stored, logged or echoed in plain text."""
    authorization = f'Bearer {KEY}'
    refused = site.search(authorization)
    assert refused.status == 401
    assert refused.headers['WWW-Authenticate'] == 'Bearer'
    assert (get_kind(refused), KEY in refused.data.decode()) == (
        'unknown_key',
        False,
    )
    keys = ('--keys', str(site.folder / 'key'))
    assert not site.run('customer', 'add-keys', 'shop', *keys)
    site.wait_for_status(200, authorization)
    answer = site.search(f'bearer  {KEY}').json()
    assert answer['status'] == 'complete'
    at = ('--at', site.callers.removeprefix('http://'))
    query = ('query', *at, 'price-check', '--customer-key')
    assert (
        commands.main([*query, str(site.folder / 'key')]) == exit_codes.SUCCESS
    )
    assert (
        commands.main([*query, str(site.folder / 'other')]) == exit_codes.FAILED
    )
    site.run('customer', 'show', 'shop')
    site.run('history')
    assert not site.run('customer', 'remove-keys', 'shop', *keys)
    site.wait_for_status(401, authorization)
    printed = capsys.readouterr()
    assert KEY not in printed.out + printed.err
    assert KEY not in (site.folder / 'log').read_text()
    stored = urllib3.request(
        'GET', f'http://{site.platform}/v1/keys/configuration/manifest'
    )
    assert KEY not in stored.data.decode()


@pytest.mark.parametrize(
    'authorization',
    [
        (),
        ('',),
        (f'Basic {OTHER_KEY}',),
        (f'Bearer {OTHER_KEY} {OTHER_KEY}',),
        (f'Bearer {OTHER_KEY}', f'Bearer {OTHER_KEY}'),
        (f'Bearer {OTHER_KEY}', 'Bearer a'),
        ('Bearer a', f'Bearer {OTHER_KEY}'),
        (f'Bearer  {OTHER_KEY}x',),
        ('Bearer \xff\xfe',),
    ],
)
def test_refuses_all_but_a_single_key(
    site: Site, authorization: tuple[str, ...]
) -> None:
    site.run(
        'customer', 'add-keys', 'shop', '--keys', str(site.folder / 'other')
    )
    site.wait_for_status(200, f'Bearer {OTHER_KEY}')
    answer = site.search(*authorization)
    assert (answer.status, get_kind(answer)) == (401, 'unknown_key')
    assert answer.json()['error']['ran'] == 'no'


def test_refuses_a_key_of_eight_kilobytes(site: Site) -> None:
    assert site.search(f'Bearer {"k" * 8192}').status == 413


def test_accepts_a_public_class_without_a_key(site: Site) -> None:
    assert not site.run('class', 'set', 'price-check', 'public=yes')
    site.wait_for_status(200)
    assert site.search('Bearer unknown').status == 200
    refused = site.search(class_name='no-such')
    assert refused.status == 401
    assert not site.run('class', 'set', 'price-check', 'public=no')
    site.wait_for_status(401)


def test_refuses_keys_in_time_during_an_outage(
    site: Site,
) -> None:
    """Guard against a host without contact that keeps accepting keys."""
    authorization = f'Bearer {OTHER_KEY}'
    keys = ('--keys', str(site.folder / 'other'))
    site.run('customer', 'add-keys', 'shop', *keys)
    site.run('class', 'set', 'quick-lookup', 'public=yes')
    site.wait_for_status(200, authorization)
    site.control(down=True)
    started = time.monotonic()
    site.wait_for_status(503, authorization)
    assert time.monotonic() - started < REVOKE_S + 0.5
    refused = site.search(authorization)
    assert get_kind(refused) == 'stale_keys'
    assert int(refused.headers['Retry-After'])
    assert site.search(class_name='quick-lookup').status == 200
    ready = urllib3.request('GET', f'{site.callers}/readyz')
    assert (ready.status, b'keys' in ready.data) == (503, True)
    site.control(down=False)
    site.wait_for_status(200, authorization)
