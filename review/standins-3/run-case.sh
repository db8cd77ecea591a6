#!/bin/sh
# Runs a scenario of the stand-ins: run-case.sh SCENARIO FOLDER. Ends with 0 if the rule held, 1 if it was broken, and
# 2 if the case could not run. All processes that were started have ended then.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/standins-3
if [ ! -x "$program" ] || [ ! -x target/release/turmericloft ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first"
    exit 2
fi
PIDS=$(mktemp) || exit 2
export PIDS
child=
end() {
    [ -n "$child" ] && kill -9 "$child" 2>/dev/null
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$PIDS"
    rm -f "$PIDS"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
"$program" "$1" "$2" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 2 ] || code=2
exit "$code"
