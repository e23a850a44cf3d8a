#!/bin/sh
# check.sh verifies the models of this directory exhaustively with spin. Each
# correct model must hold; each mutant (one rule switched off) must be rejected.
# It fails as well when a search is not complete. See README.md.
#
# JOBS sets how many verifications run at a time (default 4).
set -u

here=$(cd "$(dirname "$0")" && pwd)
jobs=${JOBS:-4}
depth=1000000

for tool in spin gcc xargs; do
	if ! command -v "$tool" >/dev/null 2>&1; then
		echo "spec/check.sh: $tool is not installed; the models cannot be checked. 'make setup' installs it (Debian; elsewhere install spin and gcc)" >&2
		exit 2
	fi
done

work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

# One line a verification: model, property (for a mutant the only one that is
# checked), mutant or "-", options.
if ! grep -v -e '^#' -e '^$' "$here/checks.txt" >"$work/checks"; then
	echo "spec/check.sh: no verification in $here/checks.txt" >&2
	exit 2
fi

cat >"$work/verify.sh" <<'END'
# verify.sh NUMBER MODEL PROPERTY MUTANT [OPTION...]: writes one line of the table.
number=$1 model=$2 property=$3 mutant=$4
shift 4
mkdir "$WORK/$number" && cd "$WORK/$number" || exit 1

report() { # VERDICT STATES DEPTH
	echo "$model|$property|$mutant|$options|$2|$3|$1" >"$WORK/result.$number"
}

options=$*
[ "$mutant" = - ] || set -- "$@" "-D$mutant"
case $property in
all) ;;
*)
	if ! grep -q "ONLY_$property\$" "$HERE/$model.pml"; then
		report "FAILED: the model has no such property" - -
		exit 0
	fi
	set -- "$@" "-DONLY_$property"
	;;
esac

if ! spin "$@" -a "$HERE/$model.pml" >spin.log 2>&1 || grep -q -i 'error' spin.log; then
	cat spin.log >&2
	report "FAILED: spin rejects the model" - -
	exit 0
fi
if ! gcc -O2 -w -DSAFETY -DNOFAIR -o pan pan.c >gcc.log 2>&1; then
	cat gcc.log >&2
	report "FAILED: gcc" - -
	exit 0
fi
./pan -m"$DEPTH" >pan.log 2>&1
states=$(sed -n 's/^ *\([0-9][0-9]*\) states, stored.*/\1/p' pan.log)
reached=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' pan.log)
errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
if [ -z "$errors" ]; then
	tail -5 pan.log >&2
	report "FAILED: no verdict" "${states:--}" "${reached:--}"
elif grep -q -i -e 'max search depth too small' -e 'out of memory' -e 'reached -DMEMLIM' -e 'search was not completed' pan.log &&
	! grep -q 'assertion violated' pan.log; then
	report "FAILED: search truncated" "$states" "$reached"
elif [ "$mutant" = - ] && [ "$errors" = 0 ]; then
	report "holds" "$states" "$reached"
elif [ "$mutant" = - ]; then
	sed -n 's/^pan:[0-9]*: //p' pan.log >&2
	report "FAILED: error found" "$states" "$reached"
elif grep -q 'assertion violated' pan.log; then
	report "rejected" "$states" "$reached"
elif [ "$errors" = 0 ]; then
	report "FAILED: mutant holds" "$states" "$reached"
else
	report "FAILED: mutant rejected, but not by its property" "$states" "$reached"
fi
END

number=0
while read -r line; do
	number=$((number + 1))
	echo "$number $line"
done <"$work/checks" >"$work/numbered"

WORK=$work HERE=$here DEPTH=$depth xargs -P "$jobs" -L 1 sh "$work/verify.sh" <"$work/numbered"

failed=0
row=0
printf '%-8s %-15s %-27s %-30s %9s %6s  %s\n' model property mutant options states depth verdict
while [ "$row" -lt "$number" ]; do
	row=$((row + 1))
	if [ ! -f "$work/result.$row" ]; then
		echo "verification $row gave no result: $(sed -n "${row}p" "$work/checks")"
		failed=$((failed + 1))
		continue
	fi
	IFS='|' read -r model property mutant options states reached verdict <"$work/result.$row"
	printf '%-8s %-15s %-27s %-30s %9s %6s  %s\n' \
		"$model" "$property" "$mutant" "$options" "$states" "$reached" "$verdict"
	case $verdict in
	FAILED*) failed=$((failed + 1)) ;;
	esac
done
if [ "$number" -eq 0 ] || [ "$failed" -ne 0 ]; then
	echo "spec/check.sh: $failed of $number verifications failed" >&2
	exit 1
fi
echo "all $number verifications as they should be"
