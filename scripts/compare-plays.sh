#!/usr/bin/env bash
# Compares the rows of two runs of scripts/play-seeds.sh over the plays that are in both. Prints the
# mean difference of worth (second minus first) with its standard error, for each day and overall.
#
# Usage: scripts/compare-plays.sh ROWS-BEFORE ROWS-AFTER
set -euo pipefail

awk '
    function note(key, difference) { n[key]++; sum[key] += difference; squares[key] += difference * difference }
    function row(key,    mean, error) {
        mean = sum[key] / n[key]
        error = n[key] > 1 ? sqrt((squares[key] / n[key] - mean * mean) / (n[key] - 1)) : 0
        printf "%-24s %3d plays  %+.4f +- %.4f\n", key, n[key], mean, error
    }
    NR == FNR { before[$1, $2, $3] = $4; next }
    ($1, $2, $3) in before { difference = $4 - before[$1, $2, $3]; note($1 " " $2, difference); note("all", difference) }
    END { for (key in n) if (key != "all") row(key); if (n["all"]) row("all") }
' "${1:?rows before}" "${2:?rows after}" | sort
