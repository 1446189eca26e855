#!/bin/sh
# Builds the stand-ins of the second review: Python files of this folder, which need the standard library only.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins-2 4/case.py 5/case.py 6/case.py
