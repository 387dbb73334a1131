#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/ ./6/wrongrank ./7/spoiled ./8/oddentry ./9/notenants ./10/silent
