#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review, after the build of the deploy file. The workspace names all
# modules of the project, so that the versions are those of that build, and nothing has to be loaded.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
export GOWORK="$PWD/build-2.work"
go build -o ../target/review/ ./6/wrongrank ./7/spoiled ./8/oddentry ./9/notenants ./10/silent
