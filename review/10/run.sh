#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
test -x "$python" || { echo "no build: $python is missing"; exit 2; }
PYTHONPATH=.. exec "$python" -B case.py
