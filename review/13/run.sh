#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/crocusd ] && [ -x target/stand3 ] || { echo "build first: the build line of deploy/system.toml, then review/build-3.sh"; exit 2; }
exec target/stand3 quota "$here/record.txt"
