#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/ ./6/spoiled ./7/oddentry ./8/notenants ./9/silent
