"""Test the format of log lines."""

import json

import pytest

from fuchsiahaven.operate import logs, settings


def test_a_field_value_cannot_forge_a_line(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guard against log lines that no part has logged.

    A caller sends a request id with a line break, which is refused and
    logged. Without quotes the rest of the id looks like another line.
    """
    logs.set_up(settings.Logs())
    logs.info('callers', 'refused', request_id='a\nE loop: down', ms=3)
    (line,) = capsys.readouterr().err.splitlines()
    assert line.endswith(
        'INFO callers: refused request_id="a\\nE loop: down" ms=3',
    )


def test_json_fields_cannot_replace_the_head(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A line is one JSON object, with its level, part and text unchanged."""
    logs.set_up(settings.Logs(json=True))
    logs.warning('gossip', 'suspects a host', host='kotoni-02', level='none')
    logs.debug('gossip', 'not wanted')
    (line,) = capsys.readouterr().err.splitlines()
    logged = json.loads(line)
    assert logged['level'] == 'warning'
    assert logged['host'] == 'kotoni-02'
    assert logged['part'] == 'gossip'
