"""Test what a host does only where customers compete."""

import pytest

from fuchsiahaven.routing import centre_health, configs, rooms

NOBODY = configs.build_index(configs.EMPTY_CONFIGURATION)
SOMEBODY = configs.build_index(
    configs.EMPTY_CONFIGURATION._replace(customers=())
)


@pytest.mark.parametrize(
    ('index', 'told'), [(NOBODY, set()), (SOMEBODY, {'south'})]
)
def test_tells_of_silence_only_where_customers_compete(
    index: configs.Index, told: set[str]
) -> None:
    """Deployments without customers send no message more."""
    known = centre_health.CentreHealth('north')
    known.review(4.9)
    for name in ('a', 'b', 'c'):
        known.record_sent('south', name, 4.9)
    for tenth in range(50, 56):
        known.review(tenth / 10)
    assert rooms.list_untold(index, known, 5.6) == told
