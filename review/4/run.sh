#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 plays it
# without the disruption, TROUBLE=leave with a planned end of the engine instead.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
PIDS=$(mktemp)
export PIDS
cleanup() {
    while read -r pid; do
        # Only what is left of this run: a process with its settings, or one of its stand-ins.
        if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' <"/proc/$pid/cmdline" 2>/dev/null | grep -qE 'saddlerelay-review|review-2/case'; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$PIDS"
    rm -f "$PIDS"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
[ -x target/review-2/case ] || { echo "run review/build-2.sh first"; exit 2; }
target/review-2/case lone-engine "$here"
