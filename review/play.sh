#!/bin/bash
# Plays one case: play.sh FOLDER PLAY. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] && [ -x target/release/cloverhollow ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
player=
# Ends what was started, also if the play is cut off: the player, and the session manager by the id noted at its start.
finish() {
    [ -n "$player" ] && kill -9 "$player" 2>/dev/null
    [ -s "$CASE_TMP/pid" ] && kill -9 "$(cat "$CASE_TMP/pid")" 2>/dev/null
    rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$standin" "$2" "$folder/record.txt" &
player=$!
for _ in $(seq 1150); do
    kill -0 "$player" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$player" 2>/dev/null; then
    echo "the play did not end within 115 s"
    exit 2
fi
wait "$player"
status=$?
player=
[ "$status" -le 2 ] || status=2
exit "$status"
