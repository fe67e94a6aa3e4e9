#!/bin/sh
# Case 3; see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export PYTHONPATH=.
.venv/bin/python -c "import garnetlanding.cli, review.standins.run" || exit 2
exec .venv/bin/python "$folder/case.py" "$folder"
