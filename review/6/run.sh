#!/bin/sh
# Plays the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python -m review.6.case
