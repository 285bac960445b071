#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/fulmarrun ] && [ -x bin/standin ] || { echo "build first: the deploy file's build, and review/build.sh" >&2; exit 2; }
exec timeout -k 5 110 bin/standin deregister-first review/1/record.txt
