#!/bin/sh
# Prepares the stand-ins of the second review. They are Python programs that
# use the standard library only, so nothing is compiled or installed: the
# script checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standins_2'
