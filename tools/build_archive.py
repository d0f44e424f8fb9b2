"""Build the one executable file: the package and its run-time libraries."""

import py_compile
import shutil
import sys
import zipapp
from importlib import metadata
from pathlib import Path
from typing import Final

RUN_TIME: Final = (
    'absl-py',
    'cheroot',
    'fastjsonschema',
    'h11',
    'jaraco.functools',
    'more-itertools',
    'prometheus_client',
    'urllib3',
)
MODE: Final = 0o755
STAGE: Final = Path('build/archive')
COMPILED: Final = frozenset(('.so', '.pyd', '.dll', '.dylib'))
#: Parts of the libraries that are their own tests or reach outside the stage.
UNUSED: Final = frozenset(('test', 'tests', 'testing', '..', '__pycache__'))


def copy_library(name: str, stage: Path) -> None:
    """Copy the files of an installed library."""
    for found in metadata.distribution(name).files or ():
        if UNUSED.isdisjoint(found.parts):
            target = stage / found
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(str(found.locate()), target)


def compile_modules(stage: Path) -> None:
    """Put byte code beside each module, so that no start compiles it.

    An archive cannot cache byte code. It is marked as not to be compared with
    the source's time, which an archive holds in the zone of the machine that
    built it; another version of Python passes it over and takes the source.
    """
    for module in stage.rglob('*.py'):
        py_compile.compile(
            str(module),
            cfile=f'{module}c',
            dfile=str(module.relative_to(stage)),
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )


def find_compiled(stage: Path) -> list[Path]:
    """Find what an archive cannot run without unpacking it."""
    return [path for path in stage.rglob('*') if path.suffix in COMPILED]


def main(arguments: list[str]) -> int:
    """Build the archive at the path given."""
    archive = Path(arguments[0])
    shutil.rmtree(STAGE, ignore_errors=True)
    shutil.copytree(
        'fuchsiahaven',
        STAGE / 'fuchsiahaven',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    for name in RUN_TIME:
        copy_library(name, STAGE)
    compiled = find_compiled(STAGE)
    if compiled:
        print(f'Compiled files cannot ship: {compiled}')
        return 1
    shutil.copyfile('fuchsiahaven/__main__.py', STAGE / '__main__.py')
    compile_modules(STAGE)
    archive.parent.mkdir(parents=True, exist_ok=True)
    zipapp.create_archive(
        STAGE,
        archive,
        interpreter='/usr/bin/env python3',
        compressed=True,
    )
    archive.chmod(MODE)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
