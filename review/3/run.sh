#!/usr/bin/env bash
# Runs the case in processes of its own; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/review/release/berylknot-review ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/release/berylknot-review queued-at-stop review/3
