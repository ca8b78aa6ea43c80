#!/usr/bin/env bash
# Builds the stand-ins of the second review; the daemon is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/_standin-2
