#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review, without a network.
set -eu
cd "$(dirname "$0")"
export GOWORK="$PWD/build-3.work" GOPROXY=off
mkdir -p ../target/review
go build -o ../target/review/ ./11/stage
