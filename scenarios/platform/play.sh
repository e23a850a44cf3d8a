#!/bin/sh
# play.sh BENCH SITE [DAY.toml ...]: plays days of our own (all of this folder, if
# none is named) on a site with the users' bench, a few at a time, and prints a
# line for each. A day's name says what it provokes: one kind of fault (fault-KIND-HOW) or
# of planned work (plan-KIND-HOW) twice, or several that overlap (mix-KINDS); entries of
# the journal from before name them by number. It fails when a rule was broken or a program
# ended by itself.
# BENCH and SITE are paths of the bench's program and of a site file; JOBS sets
# how many days are played at once (default 4). The bench writes the journal.
set -u

bench=$1 site=$2
shift 2
here=$(cd "$(dirname "$0")" && pwd)
[ "$#" -gt 0 ] || set -- "$here"/*.toml
out=$(mktemp -d) || exit 2
trap 'rm -rf "$out"' EXIT

BENCH=$bench SITE=$site OUT=$out
export BENCH SITE OUT
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} sh -c '
	name=$(basename {} .toml)
	"$BENCH" run "$SITE" {} --why "days of our own: $name" >"$OUT/$name" 2>&1
	grep "^$name " "$OUT/$name" || echo "$name was not played: $(tail -1 "$OUT/$name")"
'
if grep -l -e "BROKEN" -e "exits of its own  *[1-9]" -e "ended by themselves" "$OUT"/*; then
	echo "broken; the names above say where" >&2
	exit 1
fi
