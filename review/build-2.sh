#!/bin/sh
# Build the stand-ins of cases 4 to 6: Python files of the standard library
# alone. Nothing is written; a file that does not compile fails the build.
set -eu
cd "$(dirname "$0")/.."
exec python3 -B - review/support_2.py review/[456]/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding='utf-8'), name, 'exec')
    print('compiled', name)
END
