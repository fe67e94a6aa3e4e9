#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the program: stand-ins that need compiling only.
# The build of the deploy file comes first; it makes the environment.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2 review/standins_3 review/6 review/7 review/8 review/9 review/10
