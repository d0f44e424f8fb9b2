"""Build the one executable file: the package and its run-time libraries."""

import py_compile
import shutil
import sys
import zipapp
from importlib import metadata
from pathlib import Path
from typing import Final

RUNTIME_LIBRARIES: Final = (
    'absl-py',
    'cheroot',
    'fastjsonschema',
    'h11',
    'jaraco.functools',
    'more-itertools',
    'prometheus_client',
    'urllib3',
)
ARCHIVE_MODE: Final = 0o755
STAGING_DIR: Final = Path('build/archive')
COMPILED_SUFFIXES: Final = frozenset(('.so', '.pyd', '.dll', '.dylib'))
#: Parts of the libraries that are their own tests or reach outside the stage.
EXCLUDED_PARTS: Final = frozenset(
    ('test', 'tests', 'testing', '..', '__pycache__')
)


def copy_library(name: str, stage: Path) -> None:
    """Copy the files of an installed library."""
    for file in metadata.distribution(name).files or ():
        if EXCLUDED_PARTS.isdisjoint(file.parts):
            target = stage / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(str(file.locate()), target)


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
    return [
        path for path in stage.rglob('*') if path.suffix in COMPILED_SUFFIXES
    ]


def main(arguments: list[str]) -> int:
    """Build the archive at the path given."""
    archive = Path(arguments[0])
    shutil.rmtree(STAGING_DIR, ignore_errors=True)
    shutil.copytree(
        'fuchsiahaven',
        STAGING_DIR / 'fuchsiahaven',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    for name in RUNTIME_LIBRARIES:
        copy_library(name, STAGING_DIR)
    compiled = find_compiled(STAGING_DIR)
    if compiled:
        print(f'Compiled files cannot ship: {compiled}')
        return 1
    shutil.copyfile('fuchsiahaven/__main__.py', STAGING_DIR / '__main__.py')
    compile_modules(STAGING_DIR)
    archive.parent.mkdir(parents=True, exist_ok=True)
    zipapp.create_archive(
        STAGING_DIR,
        archive,
        interpreter='/usr/bin/env python3',
        compressed=True,
    )
    archive.chmod(ARCHIVE_MODE)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
