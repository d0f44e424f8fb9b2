"""Import every module of the archive from the archive.

Run with `-I -S`, so that no installed library replaces one that the archive
lacks. A host would fail only when it reaches the import.
"""

import importlib
import pkgutil
import sys
from typing import Final

PACKAGE: Final = 'fuchsiahaven'


def main(arguments: list[str]) -> int:
    """Import every module of the package from the given archive."""
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
