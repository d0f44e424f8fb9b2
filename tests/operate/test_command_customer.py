"""Test the commands on customers against the platform's stand-in."""

import io
from pathlib import Path
from typing import Final

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.customers import keys
from fuchsiahaven.operate import commands, descriptions, exit_codes
from tests.operate.test_operators import Deployment, deployment

KEY: Final = 'k-secret-1'
DIGEST: Final = keys.compute_digest(KEY)
__all__ = ('deployment',)


@pytest.fixture(name='key_file')
def make_key_file(tmp_path: Path) -> str:
    path = tmp_path / 'key'
    path.write_text(f'{KEY}\n')
    return str(path)


def test_an_operator_adds_shows_rotates_and_undoes(
    deployment: Deployment, key_file: str
) -> None:
    """Guard against a key in the output of any of the commands."""
    deployment.change('customer', 'set', 'shop', 'rate=2.5', 'priority=0')
    added = deployment.change(
        'customer', 'add-keys', 'shop', '--keys', key_file
    )
    (row,) = deployment.run('customer', 'list').body['rows']
    assert row == {
        'customer': 'shop',
        'keys': 1,
        'rate': 2.5,
        'burst': 0.0,
        'priority': 0,
    }
    shown = deployment.run('customer', 'show', 'shop').body
    assert shown['digests'] == [DIGEST]
    removal = ('customer', 'remove-keys', 'shop', '--digest', DIGEST)
    removed = deployment.change(*removal)
    assert not deployment.run('customer', 'show', 'shop').body['digests']
    deployment.change('undo', removed.body['change']['id'])
    assert deployment.run('customer', 'show', 'shop').body['digests'] == [
        DIGEST
    ]
    history = deployment.run('history').body
    assert KEY not in str((added, shown, removed, history))
    assert (
        deployment.run('customer', 'delete', 'shop').exit_code
        == exit_codes.FAILED
    )
    deployment.change('customer', 'delete', 'shop', '--force')
    assert not deployment.run('customer', 'list').body['rows']


def test_a_key_given_by_mistake_is_not_printed(
    deployment: Deployment, tmp_path: Path
) -> None:
    """Guard against a key in a terminal's scrollback or in a log."""
    deployment.change('customer', 'set', 'shop')
    misplaced = deployment.run('customer', 'add-keys', 'shop', '--digest', KEY)
    assert misplaced.exit_code == exit_codes.USAGE
    bad = tmp_path / 'bad'
    for text in (f'{KEY} {KEY}\n', f'{KEY}\n\n', 'k\N{BULLET}'):
        bad.write_text(text, encoding='utf-8')
        other = deployment.run(
            'customer', 'add-keys', 'shop', '--keys', str(bad)
        )
        assert other.exit_code == exit_codes.USAGE
        assert KEY not in str(other)
    bad.write_text(f'[customer shop]\nkeys = {KEY}\n')
    planned = deployment.run('plan', str(bad))
    assert planned.exit_code == exit_codes.USAGE
    assert KEY not in str((misplaced, planned))


def test_keys_are_read_from_standard_input(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr('sys.stdin', io.StringIO(f'{KEY}\n'))
    assert (
        commands.main(['customer', 'digest', '--keys', '-'])
        == exit_codes.SUCCESS
    )
    assert capsys.readouterr().out == f'{DIGEST}\n'


def test_a_description_has_customers_by_the_digests_of_their_keys(
    deployment: Deployment, tmp_path: Path
) -> None:
    path = tmp_path / 'site.ini'
    path.write_text(
        '[class c]\npublic = yes\n'
        f'[customer shop]\nkeys = {DIGEST}\nrate = 2\nburst = 4\n'
    )
    deployment.change('apply', str(path))
    assert deployment.run('plan', str(path)).exit_code == exit_codes.SUCCESS
    (shop,) = deployment.read().customers
    assert (shop.keys, shop.rate, shop.priority) == ((DIGEST,), 2.0, None)
    assert deployment.read().classes[0].public
    path.write_text('[class c]\n')
    planned = deployment.run('plan', str(path)).body
    assert 'no class asks for a key' in planned['problem']
    path.write_text(f'[customer shop]\nkeys = {DIGEST} {DIGEST}\nrate = nan\n')
    assert len(deployment.run('plan', str(path)).errors.splitlines()) == 2


def test_two_customers_cannot_hold_one_key(
    deployment: Deployment, key_file: str
) -> None:
    for name in ('shop', 'bank'):
        deployment.change('customer', 'set', name)
    deployment.change('customer', 'add-keys', 'shop', '--keys', key_file)
    refused = deployment.run('customer', 'add-keys', 'bank', '--keys', key_file)
    assert refused.exit_code == exit_codes.FAILED
    assert refused.body['error']['kind'] == errors.Kind.INVALID_CHANGE
    assert 'hold one key' in refused.body['error']['detail']


def test_a_key_under_a_misspelt_name_is_not_printed() -> None:
    """Guard against an error that contains the key."""
    reading = descriptions.parse_text(f'[customer shop]\nkey = {KEY}\n')
    assert reading.faults
    assert KEY not in str(reading.faults)
