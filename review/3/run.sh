#!/bin/sh
# Runs the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec timeout -k 5 118 .venv/bin/python -B review/3/case.py
