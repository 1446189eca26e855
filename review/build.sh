#!/bin/sh
# Builds the stand-ins of the cases: compiles them with the interpreter that the deploy file's build made.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
