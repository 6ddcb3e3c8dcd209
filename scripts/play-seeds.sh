#!/usr/bin/env bash
# Plays one day of the users' bench with several seeds and prints a row for each and the means:
# worth, and of the most precious kind of request how many were asked for, late and not served.
# One day with one seed says little: the same code differs by 0.05 and more between seeds.
#
# Usage: scripts/play-seeds.sh WHY SITE DAY [SEEDS] [FIRST]
#   WHY    a line for the bench's journal
#   SITE   the name of a site, such as bahla-ci
#   DAY    a day's name, or a TOML file
#   SEEDS  how many seeds; 12 by default
#   FIRST  the first seed; 1 by default
# KIT names the folder of the users' system pages.
set -euo pipefail
cd "$(dirname "$0")/.."

kit="${KIT:-../given/kit/more/system}"
why="${1:?a line for the journal}"
site="${2:?a site}"
day="${3:?a day}"
seeds="${4:-12}"
first="${5:-1}"
at_once="${AT_ONCE:-6}"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

site_file=$(find "$kit" -name "$site.toml" | head -1)

for ((seed = first; seed < first + seeds; seed++)); do
    "$kit/bin/fleetbench" run "$site_file" "$day" --seed "$seed" --why "$why" >"$out/$seed.txt" 2>&1 || true &
    while (($(jobs -r | wc -l) >= at_once)); do wait -n; done
done
wait

for ((seed = first; seed < first + seeds; seed++)); do
    # The first row of the table of kinds is the most precious one: asked, in aim, late, refused, failed.
    awk -v seed="$seed" '
        /^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|ROUTE|DRAIN|CONFIG|ORDER|RECOVER)/ { broken = broken " " $1 }
        seen == 0 && $2 ~ /^[0-9]+\/[0-9]+$/ { worth = $4; served = $5; seen = 1 }
        kind == 1 { asked = $2; late = $4; refused = $5; failed = $6; kind = 2 }
        /^class / { kind = 1 }
        END { print seed, worth, served, asked, late, refused, failed, broken }
    ' "$out/$seed.txt"
done | awk '
    BEGIN { print "seed worth served asked late refused failed" }
    { print; worth += $2; served += $3; asked += $4; late += $5; refused += $6; failed += $7 }
    END { printf "mean %.3f %.3f; of %d asked: %d late, %d refused, %d failed\n", worth / NR, served / NR, asked, late, refused, failed }
'
