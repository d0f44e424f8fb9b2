"""Check that the packages import each other in one direction only."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import fuchsiahaven

ROOT: Final = Path(fuchsiahaven.__file__).parent
PACKAGE_NAME: Final = 'fuchsiahaven'
#: The other packages that each package may import.
ALLOWED: Final = {
    'core': set(),
    'core.customers': {'core'},
    'core.configuration': {'core', 'core.customers'},
    'core.members': {'core', 'core.configuration'},
    'core.targets': {'core', 'core.configuration'},
    'core.claims': {'core', 'core.targets'},
    'core.queries': {
        'core',
        'core.configuration',
        'core.targets',
        'core.claims',
    },
    'routing': {
        'core',
        'core.configuration',
        'core.customers',
        'core.queries',
        'core.targets',
    },
    'platform': {
        'core',
        'core.configuration',
        'core.customers',
        'core.targets',
        'routing',
    },
}


def list_imports(path: Path) -> Iterator[str]:
    """List the modules and names of this project that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            if node.module.split('.')[0] == PACKAGE_NAME:
                yield from (
                    f'{node.module}.{alias.name}' for alias in node.names
                )


def find_package(module: str) -> str:
    """Return the package of a module, without the project's name."""
    parts = module.split('.')[1:]
    folder = ROOT.joinpath(*parts)
    inside = parts if folder.is_dir() else parts[:-1]
    return '.'.join(inside)


def list_crossings(package: str) -> Iterator[tuple[str, str]]:
    """List the imports of other packages, with the importing file."""
    for path in sorted(ROOT.joinpath(*package.split('.')).glob('*.py')):
        for module in list_imports(path):
            if find_package(module) != package:
                yield path.name, find_package(module)


def test_imports_go_one_way() -> None:
    """With cyclic imports a reader of one module has to read them all."""
    violations = [
        (package, *crossing)
        for package, allowed in ALLOWED.items()
        for crossing in list_crossings(package)
        if crossing[1] not in allowed
    ]
    assert not violations


def test_each_core_package_declares_its_imports() -> None:
    """A new package must declare its allowed imports."""
    packages = {
        f'core.{path.parent.name}' for path in ROOT.glob('core/*/__init__.py')
    }
    assert packages < ALLOWED.keys()
