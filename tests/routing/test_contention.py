"""Test what a host does only if customers compete."""

import pytest

from fuchsiahaven.routing import centre_health, configs, contention

WITHOUT_CUSTOMERS = configs.build_index(configs.EMPTY_CONFIGURATION)
WITH_CUSTOMERS = configs.build_index(
    configs.EMPTY_CONFIGURATION._replace(customers=())
)


@pytest.mark.parametrize(
    ('index', 'expected'),
    [(WITHOUT_CUSTOMERS, set()), (WITH_CUSTOMERS, {'south'})],
)
def test_reports_silence_only_with_customers(
    index: configs.Index, expected: set[str]
) -> None:
    """Guard against additional messages in deployments without customers."""
    health = centre_health.CentreHealth('north')
    health.review(4.9)
    for name in ('a', 'b', 'c'):
        health.record_sent('south', name, 4.9)
    for tenth in range(50, 56):
        health.review(tenth / 10)
    assert contention.list_unreported(index, health, 5.6) == expected
