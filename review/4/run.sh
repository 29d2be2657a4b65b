#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the crashes.
cd "$(dirname "$0")" || exit 2
python3 -B play.py &
play=$!
trap 'kill "$play"' TERM INT
wait "$play"
code=$?
# A trapped signal ends the first wait; the program then ends its processes.
if kill -0 "$play" 2>/dev/null; then wait "$play"; code=2; fi
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
