"""Test how requests are distributed over the services of a split."""

import collections

from fuchsiahaven.routing import configs, splits


def test_follows_weights_from_the_first_requests() -> None:
    """Any ten consecutive requests follow weights of 7, 2 and 1."""
    split = configs.Split(
        tuple(
            configs.Weighted(name, weight)
            for name, weight in (('x', 7.0), ('y', 2.0), ('z', 1.0))
        )
    )
    position = 0.5
    chosen = []
    for _ in range(100):
        choice = splits.choose_service(split, position)
        position = choice.position
        chosen.append(choice.service)
    for start in range(10, 90):
        counted = collections.Counter(chosen[start : start + 10])
        assert counted['x'] in {6, 7, 8}
        assert counted['z'] in {0, 1, 2}


def test_excludes_a_service_without_weight() -> None:
    """It gets no request at any position on the circle."""
    weights = (('x', 0.0), ('y', 0.1), ('z', 0.0))
    split = configs.Split(tuple(configs.Weighted(*entry) for entry in weights))
    for position in (0.0, 0.3, 1 - 2**-53, 1.0):
        assert splits.choose_service(split, position).service == 'y'
