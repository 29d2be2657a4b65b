#!/usr/bin/env bash
# The stand-ins are in Python (3.11 or later, its own library only), so nothing has to be built for them.
exec python3 -c 'import sys, tomllib'
