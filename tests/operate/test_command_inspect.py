"""Test the commands that speak with hosts on the platform."""

import json
from pathlib import Path

import pytest

from fuchsiahaven.operate import command_inspect, commands, exits
from tests.platform import test_settings

TOLD = {
    'ready': 'yes',
    'version': 7,
    'news_age': 0.4,
    'store_lost': False,
    'source': 'the store',
    'hosts': {'host-2': 'north', 'host-1': 'south'},
    'targets': {'records': {'i-1': '12 ms', 'i-2': 'left out'}},
    'budgets': {'records': 5.5},
    'waiting': 0,
}


def test_lists_what_a_host_believes() -> None:
    """One line for each service says how its targets stand."""
    lines = command_inspect.list_lines(json.loads(json.dumps(TOLD)))
    assert 'version: 7' in lines
    assert 'store_era: not told' in lines
    told = command_inspect.list_lines({**TOLD, 'store_era': 4})
    assert 'store_era: 4' in told
    assert 'hosts: host-1, host-2' in lines
    assert lines[-1] == 'records: i-1 12 ms, i-2 left out; 5.5 repeats left'


def test_lists_what_is_quarantined() -> None:
    """Symptom: only `--json` shows which requests are refused."""
    row = {'digest': 'ab', 'wait': 119.6, 'crashes': 3, 'targets': ['i-1']}
    lines = command_inspect.list_lines({**TOLD, 'quarantined': [row]})
    assert 'quarantined: ab for 120 s, targets ended at 3 moments: i-1' in lines


def test_lists_how_customers_requests_ended() -> None:
    """Where callers need no key there is no such line."""
    assert not command_inspect.list_customers(None)
    told = {
        'known': 3,
        'largest': {'shop': {'complete': 7, 'over_quota': 1}},
        'others': {},
        'unknown_keys': {'no key was shown': 2},
    }
    lines = command_inspect.list_lines({**TOLD, 'customers': told})
    assert 'customers: 3' in lines
    assert 'customer shop: complete 7, over_quota 1' in lines
    assert 'other customers: none' in lines
    assert 'unknown keys: no key was shown 2' in lines


def test_says_that_nobody_answers(capsys: pytest.CaptureFixture[str]) -> None:
    """A host that is gone ends the command with the code for that."""
    code = commands.main(['inspect', '--at', '127.0.0.1:1'])
    assert code == exits.UNREACHABLE
    assert '127.0.0.1:1' in capsys.readouterr().err


def test_checks_a_settings_file_of_the_platform(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Every fault is named, each on a line of its own."""
    path = tmp_path / 'boot.conf'
    path.write_text(test_settings.TEXT)
    words = ['check', '--platform', str(path)]
    assert commands.main(words) == exits.DONE
    path.write_text(test_settings.TEXT.replace('=56', '=many'))
    assert commands.main(words) == exits.FAILED
    assert "bounds.retry_slack 'many' is not" in capsys.readouterr().out


def test_checks_a_version_for_the_store(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """What hosts would refuse is told before it is written, without a key."""
    path = tmp_path / 'next.json'
    words = ['check', '--configuration', str(path)]
    shop = {'name': 'shop', 'api_keys': ['k-secret']}
    written = {'version': 4, 'routes': [], 'services': [], 'tenants': [shop]}
    path.write_text(json.dumps(written))
    assert commands.main(words) == exits.DONE
    assert 'version 4: 0 routes, 1 customers' in capsys.readouterr().out
    shop['api_keys'] = ['k-secret', 'k-secret']
    path.write_text(json.dumps(written))
    assert commands.main(words) == exits.FAILED
    told = capsys.readouterr().out
    assert "customer 'shop': a key is there twice" in told
    assert 'k-secret' not in told
    assert commands.main(['check', '--configuration', 'none.json']) == (
        exits.FAILED
    )
