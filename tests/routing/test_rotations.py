"""Test when callers are told to come back from a host that is cut off."""

import pytest

from fuchsiahaven.routing import rotations


def ask(*told: tuple[float, bool]) -> rotations.Rotation:
    """Have the balancer ask at these times, with these answers."""
    rotation = rotations.Rotation()
    for now, ready in told:
        rotation = rotations.note_asked(rotation, now, ready=ready)
    return rotation


@pytest.mark.parametrize(
    ('told', 'now', 'wanted'),
    [
        (((0, True), (1, True)), 1.5, 1.5),
        (((0, True), (1, False)), 1.5, 0.5),
        (((0, False), (1, False)), 1.5, 0.0),
        ((), 1.5, 2.0),
    ],
)
def test_sends_callers_back_when_the_balancer_has_moved(
    told: tuple[tuple[float, bool], ...], now: float, wanted: float
) -> None:
    """Symptom: callers of a data centre that is cut off are refused twice.

    They come back before the balancer has asked a second time, and reach the
    same host again.
    """
    when = rotations.estimate_departure(ask(*told), now)
    assert wanted <= when <= wanted + 0.1


def test_goes_by_how_often_the_balancer_asks() -> None:
    """Another balancer asks twice a second; an outage of it is no period."""
    told = [(number / 2, True) for number in range(40)]
    rotation = ask(*told, (60.0, True))
    assert rotations.estimate_departure(rotation, 60.0) < 1.2


def test_begins_anew_once_ready() -> None:
    """An answer of 200 takes the host back at once."""
    rotation = ask((0, False), (1, False), (2, True))
    assert rotations.estimate_departure(rotation, 2.0) > 1.5
