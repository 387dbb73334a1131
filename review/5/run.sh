#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the
# disruption. RECORD: another path for the record.
here="$(cd "$(dirname "$0")" && pwd)"
export REVIEW_ROOT="$(cd "$here/../.." && pwd)"
timeout -k 1 118 "$REVIEW_ROOT/target/review/whole" "${RECORD:-$here/record.txt}"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
