"""Compare installed versions with a lock file.

Uses only the standard library, as it runs before anything is installed.
"""

import sys
from importlib import metadata
from pathlib import Path


def read_pins(lock: Path) -> list[tuple[str, str]]:
    """Read the pinned names and versions of a lock file."""
    lines = (line.strip() for line in lock.read_text().splitlines())
    pins = (line.partition('==') for line in lines if '==' in line)
    return [(name, version) for name, _, version in pins]


def find_stale(pins: list[tuple[str, str]]) -> list[str]:
    """List the pinned names that are missing or have another version."""
    installed = {
        _normalize(distribution.metadata['Name']): distribution.version
        for distribution in metadata.distributions()
    }
    return [
        name
        for name, version in pins
        if installed.get(_normalize(name)) != version
    ]


def main(arguments: list[str]) -> int:
    """Return 0 if the environment matches the lock file, 1 otherwise."""
    stale = find_stale(read_pins(Path(arguments[0])))
    if stale:
        print(
            'Missing or different from the lock file: {0}'.format(
                ', '.join(stale)
            )
        )
    return int(bool(stale))


def _normalize(name: str) -> str:
    return name.lower().replace('-', '_').replace('.', '_')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
