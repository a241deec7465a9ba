#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review. They need no module but their own.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/stand-2 .
