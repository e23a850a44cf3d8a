#!/bin/sh
# vary.sh BENCH SITE FIRST LAST: plays varied deployments, one for each seed from
# FIRST to LAST, each with a day of overlapping faults, and prints a line for
# each. It fails when a rule was broken or a program ended by itself. JOBS sets
# how many are played at once (default 4). What is written of the site file lies
# in a temporary folder, and is gone when all went well. Run it in the repository.
set -u

bench=$1 site=$2 first=$3 last=$4
out=$(mktemp -d) || exit 2
go build -o "$out/sitevary" ./platform/sitevary || exit 2

BENCH=$bench SITE=$site OUT=$out
export BENCH SITE OUT
seq "$first" "$last" | xargs -P "${JOBS:-4}" -I{} sh -c '
	"$OUT/sitevary" vary --site "$SITE" --seed {} --out "$OUT/{}" || exit 0
	"$BENCH" run "$OUT/{}/site.toml" "$OUT/{}/day.toml" --why "varied deployment {}" >"$OUT/{}/played" 2>&1
	grep "^varied-{} " "$OUT/{}/played" || echo "varied-{} was not played: $(tail -1 "$OUT/{}/played")"
'
if grep -l -e "BROKEN" -e "exits of its own  *[1-9]" -e "ended by themselves" "$out"/*/played; then
	echo "broken; the files above say where" >&2
	exit 1
fi
rm -rf "$out"
