"""Import every module of the archive from the archive.

Run with `-I -S`, so that no installed library can stand in for one that the
archive lacks; a host would notice only when it reaches the import.
"""

import importlib
import pkgutil
import sys
from typing import Final

PACKAGE: Final = 'fuchsiahaven'


def main(arguments: list[str]) -> int:
    """Import all that the archive given holds of the package."""
    sys.path.insert(0, arguments[0])
    package = importlib.import_module(PACKAGE)
    modules = pkgutil.walk_packages(package.__path__, f'{PACKAGE}.')
    names = [module.name for module in modules]
    for name in names:
        module = importlib.import_module(name)
        assert str(module.__file__).startswith(arguments[0]), name
    print(f'{arguments[0]}: {len(names)} modules import from the archive')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
