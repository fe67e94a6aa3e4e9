#!/bin/sh
# Builds every stand-in of the cases: plain Python, compiled with the project's own interpreter.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
