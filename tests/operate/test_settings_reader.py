"""Test the parsing of settings files."""

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
    """Each type of value is parsed; missing keys have their defaults."""
    parsed = settings_reader.parse_text(WHOLE).settings
    assert parsed is not None
    assert parsed.callers.address == addresses.Address('::1', 8101)
    assert len(parsed.peers.seeds) == 2
    assert parsed.peers.allow_plain is True
    assert parsed.limits == settings.Limits(drain_s=2.5)
    assert parsed.metrics.address is None


def test_every_fault_is_reported_at_once() -> None:
    """Guard against reporting one fault for each start of a host.

    The file has a fault of each kind. configparser raises at the first invalid
    line, and the remaining lines must be checked all the same.
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
    """Peers without TLS, a lone key and a port used twice are rejected."""
    faults = settings_reader.parse_text(WHOLE.replace(old, new)).faults
    assert [fault.key for fault in faults] == [key]


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.stem)
def test_example_is_free_of_faults(path: Path) -> None:
    """The example files are valid."""
    assert not settings_reader.read_file(path).faults


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    """A TLS file that does not exist is a fault of the settings."""
    path = tmp_path / 'host.ini'
    path.write_text(f'{WHOLE}[targets]\ntls_authority = none.pem\n')
    (fault,) = settings_reader.read_file(path).faults
    assert fault[:3] == ('targets', 'tls_authority', 'none.pem')
