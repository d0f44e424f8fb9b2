"""Test how a request finds its route."""

import pytest

from fuchsiahaven.routing import configs
from tests.routing import router_rig


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/a/x', '/a/'),
        ('/a/b/x', '/a/b/'),
        ('/a/bc/x', '/a/'),
        ('/a', None),
        ('/ab/x', None),
        ('', None),
    ],
)
def test_finds_the_longest_prefix(path: str, expected: str | None) -> None:
    """Prefixes end with a slash: a longer path segment does not match."""
    action = configs.Single('one')
    routes = [
        router_rig.make_route(action, prefix=it) for it in ('/a/', '/a/b/')
    ]
    index = configs.build_index(
        configs.Configuration(1, tuple(routes), (), configs.Limits())
    )
    route = configs.find_route(index, 'shop.example', path)
    assert getattr(route, 'prefix', None) == expected
    assert configs.find_route(index, 'other.example', '/a/x') is None
