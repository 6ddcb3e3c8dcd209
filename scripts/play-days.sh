#!/usr/bin/env bash
# Plays this project's own days with faults on the users' bench and prints a row for each.
#
# Usage: scripts/play-days.sh WHY [PATTERN]
#   WHY      reason for the run, a line in the bench's journal
#   PATTERN  a regular expression for the names of days; all days by default
# Environment variables: KIT is the directory of the users' system pages, BENCH the program of their
# bench, SITES the sites, and AT_ONCE the number of days played concurrently. DAYS is the directory
# of days if it is not the site's own: the days of najem-flota-grown also fit najem-flota-large.
set -euo pipefail
cd "$(dirname "$0")/.."

kit="${KIT:-../given/kit/more/system}"
bench="${BENCH:-$kit/more/bench-93cd67/bin/fleetbench}"
sites="${SITES:-najem-flota-large kls-sapporo}"
why="${1:?a line for the journal}"
pattern="${2:-.}"
at_once="${AT_ONCE:-5}"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

site_file() {
    find "$kit" -name "$1.toml" | head -1
}

play() {
    local site=$1 file=$2 name
    name=$(basename "$file" .toml)
    "$bench" run "$(site_file "$site")" "$file" --why "$why" >"$out/$site-$name.txt" 2>&1 || true
    grep "^$name " "$out/$site-$name.txt" | sed "s/^/$site /" || echo "$site $name was not played"
}

for site in $sites; do
    for file in experiments/platform-days/"${DAYS:-$site}"/*.toml; do
        [[ $(basename "$file" .toml) =~ $pattern ]] || continue
        play "$site" "$file" &
        while (($(jobs -r | wc -l) >= at_once)); do wait -n; done
    done
done
wait
