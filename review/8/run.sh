#!/bin/sh
# Ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../standins-2/run-case.sh" quota-record review/8
