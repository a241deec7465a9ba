#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Needs no network.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/stand .
