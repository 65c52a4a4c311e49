#!/bin/sh
# TROUBLE=0 leaves out the long request.
cd "$(dirname "$0")" && exec python3 -B case.py
