#!/usr/bin/env bash
# Builds the stand-in of the scripts. The nodes themselves are built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
