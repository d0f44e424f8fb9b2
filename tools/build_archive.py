"""Build the executable archive of the package and its runtime libraries."""

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
#: Path parts of library tests and of files outside the staging directory.
EXCLUDED_PARTS: Final = frozenset(
    ('test', 'tests', 'testing', '..', '__pycache__')
)


def copy_library(name: str, stage: Path) -> None:
    """Copy the files of an installed library to the staging directory."""
    for file in metadata.distribution(name).files or ():
        if EXCLUDED_PARTS.isdisjoint(file.parts):
            target = stage / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(str(file.locate()), target)


def compile_modules(stage: Path) -> None:
    """Compile each module to byte code, so that no start has to compile it.

    An archive cannot cache byte code. The byte code is marked as unchecked,
    as an archive stores the source's time in the time zone of the machine
    that built it. Another version of Python ignores it and uses the source.
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
    """List the files that cannot be loaded from an archive."""
    return [
        path for path in stage.rglob('*') if path.suffix in COMPILED_SUFFIXES
    ]


def main(arguments: list[str]) -> int:
    """Build the archive at the given path and return the exit code."""
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
        print(
            f'Python cannot load compiled modules from an archive: {compiled}'
        )
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
