#!/bin/sh
# The stand-ins are plain Python without dependencies; this only compiles them.
cd "$(dirname "$0")" && python3 -m py_compile standins.py 1/case.py 2/case.py 3/case.py 4/case.py 5/case.py
