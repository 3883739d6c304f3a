#!/bin/sh
cd "$(dirname "$0")" || exit 2
PYTHONHASHSEED=1 exec python3 -B case.py
