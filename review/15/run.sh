#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../standins-3/run-case.sh" late-crash-record "$folder"
