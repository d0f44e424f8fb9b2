"""Test the reading of settings files."""

from pathlib import Path

import pytest

from fuchsiahaven.core import addresses
from fuchsiahaven.operate import settings, settings_reader

EXAMPLES = sorted(Path('examples/hosts').glob('*.ini'))
WHOLE = """
[host]
name = maipu-02
data_centre = Maipú
[callers]
address = [::1]:8101
[peers]
address = 10.0.0.2:8201
seeds = 10.0.0.2:8201 10.0.0.3:8201
allow_plain = yes
[platform]
addresses = 10.0.0.9:8400
[limits]
drain_s = 2.5
"""


def test_whole_file_becomes_typed_settings() -> None:
    """Read each kind of value, and defaults for the rest."""
    parsed = settings_reader.parse_text(WHOLE).settings
    assert parsed is not None
    assert parsed.callers.address == addresses.Address('::1', 8101)
    assert len(parsed.peers.seeds) == 2
    assert parsed.peers.allow_plain is True
    assert parsed.limits == settings.Limits(drain_s=2.5)
    assert parsed.metrics.address is None


def test_every_fault_is_reported_at_once() -> None:
    """Tell the faults of a file that has one of each kind.

    Symptom: an operator mends a file line by line, one start at a time.
    Sequence: the file has several faults; the reader stops at the first.
    Cause: configparser raises at the first line that it cannot take.
    """
    text = '\n'.join(
        (
            'stray',
            '[host]',
            'name = two words',
            'name = again',
            'data_center = Maipú',
            'processes = 0',
            '[caller]',
            '[peers]',
            'address = localhost:80',
            'allow_plain = perhaps',
            '[platform]',
            'addresses = 10.0.0.1:8400, 10.0.0.2',
            '[policy]',
            'name = standrad',
        ),
    )
    faults = settings_reader.parse_text(text).faults
    expected = {(fault.section, fault.key): fault.expected for fault in faults}
    assert set(expected) == {
        ('', 'line 1'),
        ('host', 'name'),
        ('host', 'data_center'),
        ('host', 'data_centre'),
        ('host', 'processes'),
        ('caller', ''),
        ('callers', 'address'),
        ('peers', 'address'),
        ('peers', 'allow_plain'),
        ('platform', 'addresses'),
        ('policy', 'name'),
    }
    assert expected['host', 'data_center'].endswith('data_centre')
    assert expected['caller', ''].endswith('callers')
    assert expected['policy', 'name'] == 'one of standard, baseline'
    assert expected['host', 'processes'] == 'a whole number from 1 to 64'


@pytest.mark.parametrize(
    ('old', 'new', 'key'),
    [
        ('allow_plain = yes', '', 'tls_authority, tls_certificate, tls_key'),
        ('[limits]', '[targets]\ntls_key = k\n[limits]', 'tls_certificate'),
        ('[limits]', '[metrics]\naddress = 10.0.0.2:8201\n[limits]', 'address'),
    ],
)
def test_conflicting_settings_are_rejected(
    old: str, new: str, key: str
) -> None:
    """Refuse peers without TLS unasked, a key alone, one port for two."""
    faults = settings_reader.parse_text(WHOLE.replace(old, new)).faults
    assert [fault.key for fault in faults] == [key]


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
def test_example_is_free_of_faults(path: Path) -> None:
    """Keep the example files in step with the settings."""
    assert not settings_reader.read_file(path).faults


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    """Name a TLS file that is not there before a host is started with it."""
    path = tmp_path / 'host.ini'
    path.write_text(f'{WHOLE}[targets]\ntls_authority = none.pem\n')
    (fault,) = settings_reader.read_file(path).faults
    assert fault[:3] == ('targets', 'tls_authority', 'none.pem')
