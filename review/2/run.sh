#!/usr/bin/env bash
# LOST: six crashes of four of eleven engines while a step runs; see claim.txt. TROUBLE=0: without the crashes.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/review/driver ] || bash review/build.sh || exit 2
folder=$(mktemp -d) || exit 2
end() {
    for file in "$folder"/*/pid; do
        [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end EXIT
timeout -k 2 110 target/review/driver crashes "$PWD/review/2" "$folder" target/release/saddlerelay
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
