#!/bin/sh
# Builds the stand-ins of the scripts in review/13 and review/15 to review/17 into target/. The daemon comes from the
# build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review3-standin ./review/_standin-3
