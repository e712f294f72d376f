#!/bin/sh
# Runs one case in a temporary folder and ends all processes that it started. KEEP=1 keeps their logs.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_name=$1
record=$2/record.txt
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
finish() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            kill -s KILL "$pid" 2>/dev/null
        done <"$folder/pids"
    fi
    if [ "${KEEP:-0}" = 1 ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
}
trap finish EXIT
trap 'exit 2' INT TERM
[ -x target/review-2/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x target/release/bergamotpitch-adapter ] || { echo "run the build of the deploy file first" >&2; exit 2; }
timeout -s KILL 115 target/review-2/review-2 "$case_name" "$record" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
