#!/bin/bash
# Plays what is no case: play-2.sh FOLDER PLAY, with PLAY one of stall-late and bad-figures. Exits and TROUBLE=0 as in the cases' scripts.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/cloverhollow target/review-2/release/review-2; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
exec target/review-2/release/review-2 "$2" "$folder/record.txt"
