#!/bin/sh
# Exits with 1 if FLOW was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 review/6/case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
