"""Test the layouts of the two deployments."""

import collections

import pytest

from standins import layouts


@pytest.mark.parametrize('deployment', ['santiago', 'ishikari'])
@pytest.mark.parametrize('data_centres', [1, 2])
def test_each_shard_is_on_two_instances(
    deployment: str, data_centres: int
) -> None:
    layout = layouts.build(deployment, 20_000, data_centres)
    for service, group in zip(
        layout.services, layout.configuration.groups, strict=True
    ):
        instances = collections.defaultdict(set)
        for target in group.targets:
            for holding in layout.holdings[target.name]:
                site = (target.data_centre, holding.shard)
                instances[site].add(target.name.rpartition('/')[0])
        assert len(instances) == service.shards * data_centres
        assert {len(holders) for holders in instances.values()} == {
            service.replicas
        }


def test_ports_are_distinct() -> None:
    layout = layouts.build('santiago', 20_000, 2)
    addresses = [
        target.address
        for group in layout.configuration.groups
        for target in group.targets
    ]
    assert len(set(addresses)) == len(addresses) == 218


def test_repartition_covers_all_positions() -> None:
    service = layouts.SERVICES['santiago'][0]
    assigned = layouts.assign_shards(service, 25, 13)
    ranges = {
        (holding.low, holding.high)
        for holdings in assigned
        for holding in holdings
    }
    lows = sorted(low for low, _ in ranges)
    highs = sorted(high for _, high in ranges)
    assert lows == [0, *highs[:-1]]
    assert highs[-1] == layouts.KEY_SPACE_SIZE
