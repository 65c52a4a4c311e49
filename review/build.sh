#!/bin/sh
# The stand-ins are Python scripts. This compiles them once, which finds faults
# of syntax and a missing interpreter before a case is run.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common/*.py ?/*.py
