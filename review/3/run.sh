#!/bin/sh
# Case 3; see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
PYTHONPATH=. exec .venv/bin/python "$folder/case.py" "$folder"
