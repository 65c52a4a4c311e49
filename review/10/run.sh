#!/bin/sh
# TROUBLE=0 leaves out the freeze.
cd "$(dirname "$0")" && exec python3 -B case.py
