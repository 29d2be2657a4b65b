#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt in this folder, whatever the outcome.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the burst.
cd "$(dirname "$0")" || exit 2
record="$PWD/record.txt"
: > "$record" || exit 2
python3 -B play.py "$record" 2>> "$record" &
play=$!
trap 'kill "$play"' TERM INT
wait "$play"
code=$?
# A trapped signal ends the first wait; the program then ends its processes.
if kill -0 "$play" 2>/dev/null; then wait "$play"; code=2; fi
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) echo "the case couldn't run: play.py ended with $code" >> "$record"; exit 2 ;;
esac
