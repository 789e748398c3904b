#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are Python files that use
# the standard library only, so that it is enough to check that this Python compiles them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -m compileall -q stand2 6 7 8 9 10
