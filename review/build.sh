#!/bin/sh
# Builds the stand-ins of the cases: they are Python, so it compiles them.
cd "$(dirname "$0")/.." && python3 -m compileall -q review standins
