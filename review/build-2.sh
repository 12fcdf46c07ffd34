#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: Python without further libraries, so they are compiled only.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins_2 6 7 8 9 10
