#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
export FRONT=$PWD/../../target/release/myrtle-front RECORD=$PWD/record.txt
case=$PWD/../../target/review/debug/case-6
: > "$RECORD" || exit 2
for program in "$FRONT" "$case"; do
  [ -x "$program" ] || { echo "NOT RUN: ${program##*/} is not built" >> "$RECORD"; exit 2; }
done
# It ends by itself after 112 s at the latest, and no process that it starts outlives it.
exec "$case"
