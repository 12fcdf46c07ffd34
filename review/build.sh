#!/bin/sh
# Builds what the cases start beside the sender. The stand-ins need Python's standard library only and run from
# their sources, so that this only checks that the build of the deploy file has been run and that they load.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c "import sys; sys.path.insert(0, 'review'); import standins"
