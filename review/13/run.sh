#!/usr/bin/env bash
# Plays the case against the programs in target/, after review/build-3.sh. It writes record.txt beside itself.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/review/stage ] || [ ! -x target/siskinford-platform ]; then
	echo "build the deploy file and review/build-3.sh first" >&2
	exit 2
fi
exec target/review/stage parts "$here/record.txt"
