#!/usr/bin/env bash
# Plays days of the users' bench with several seeds each and prints a row for each play and the
# means: worth, the served share, and for the most valuable kind of request the numbers requested,
# late, refused and failed. A single seed is not enough: the worth of the same code varies by 0.05
# or more between seeds.
#
# Usage: scripts/play-seeds.sh WHY SITE DAYS [SEEDS] [FIRST]
#   WHY    reason for the run, a line in the bench's journal
#   SITE   the name of a site, such as bahla-ci, or a site file
#   DAYS   names of days or TOML files, separated by spaces; "trouble" stands for the five standard days
#   SEEDS  number of seeds; 12 by default
#   FIRST  the first seed; 1 by default
# Environment variables: KIT is the directory of the users' system pages, BENCH the program of their
# bench, ROWS the output file for the rows of the plays (for scripts/compare-plays.sh), and AT_ONCE
# the number of plays that run concurrently.
set -euo pipefail
cd "$(dirname "$0")/.."

kit="${KIT:-../given/kit/more/system}"
bench="${BENCH:-$kit/more/bench-93cd67/bin/fleetbench}"
why="${1:?a line for the journal}"
site="${2:?a site}"
days="${3:?days}"
seeds="${4:-12}"
first="${5:-1}"
at_once="${AT_ONCE:-6}"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

days=" $days "
days="${days// trouble / trouble-1 scale-1 trouble-2 scale-2 trouble-3 }"
site_file=$site
if [ ! -f "$site_file" ]; then site_file=$(find "$kit" -name "$site.toml" | head -1); fi
site=$(basename "$site" .toml)

for day in $days; do
    for ((seed = first; seed < first + seeds; seed++)); do
        "$bench" run "$site_file" "$day" --no-cpu --seed "$seed" --why "$why" >"$out/$(basename "$day")-$seed.txt" 2>&1 || true &
        while (($(jobs -r | wc -l) >= at_once)); do wait -n || true; done
    done
done
wait

rows="${ROWS:-$out/rows}"
: >"$rows"
for day in $days; do
    name=$(basename "$day")
    for ((seed = first; seed < first + seeds; seed++)); do
        # The first row of the table of kinds is the most valuable one. Its columns: asked, in aim,
        # late, refused, failed.
        awk -v site="$site" -v day="$name" -v seed="$seed" '
            /^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|ROUTE|DRAIN|CONFIG|ORDER|RECOVER)/ { broken = broken " " $1 }
            match($0, /BROKEN: [A-Z]+/) { broken = broken " " substr($0, RSTART + 8, RLENGTH - 8) }
            seen == 0 && $2 ~ /^[0-9]+\/[0-9]+$/ { worth = $4; served = $5; seen = 1 }
            kind == 1 { asked = $2; late = $4; refused = $5; failed = $6; kind = 2 }
            /^class / { kind = 1 }
            END { print site, day, seed, worth, served, asked, late, refused, failed, broken }
        ' "$out/$name-$seed.txt" >>"$rows"
    done
done

echo "site day seed worth served asked late refused failed broken"
cat "$rows"
awk '
    { n[$2]++; worth[$2] += $4; squares[$2] += $4 * $4; served[$2] += $5; asked[$2] += $6; late[$2] += $7; refused[$2] += $8; failed[$2] += $9; broken[$2] += NF > 9 }
    END {
        for (day in n) {
            mean = worth[day] / n[day]
            error = n[day] > 1 ? sqrt((squares[day] / n[day] - mean * mean) / (n[day] - 1)) : 0
            if (error != error) error = 0
            printf "mean of %s (%d): worth %.3f +- %.3f, served %.3f; of %d asked: %d late, %d refused, %d failed; plays with a broken rule: %d\n", day, n[day], mean, error, served[day] / n[day], asked[day], late[day], refused[day], failed[day], broken[day]
            all += mean; days++
        }
        printf "mean of the days: %.4f\n", all / days
    }
' "$rows" | sort
