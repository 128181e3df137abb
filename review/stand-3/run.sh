#!/usr/bin/env bash
# Runs a case of the third review, whose record is written to its folder: run.sh CASE FOLDER.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/release/quincespoked ] || [ ! -x target/review-3/cases ]; then
    echo "could not run: build the deploy file's programs and review/build-3.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d)
RECORD="$2/record.txt" timeout 118 target/review-3/cases "$1" "$temporary"
status=$?
# Gateways that are left if the case was ended. Each has the temporary folder in its command.
while IFS= read -r pid; do
    if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$temporary"; then
        kill -KILL "$pid"
    fi
done < <(cat "$temporary/pids" 2>/dev/null)
rm -rf "$temporary"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
