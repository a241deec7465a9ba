#!/usr/bin/env bash
# Builds every stand-in that the scripts of the third review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/stand3 .
