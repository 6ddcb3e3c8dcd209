#!/usr/bin/env bash
# Ablation study: plays days of the users' bench with all mechanisms of the policy enabled, and with
# each one disabled in turn, using the same seeds. Prints the mean difference of worth and its
# standard error for each. The switches are settings (docs/CONFIG.md), so nothing is rebuilt.
#
# Usage: scripts/measure-ablation.sh WHY SITE DAYS SEEDS [SWITCH...]
#   The first four are as for scripts/play-seeds.sh. SWITCH: names of switches; all by default.
# Run it in a scratch copy of the repository, as it modifies the settings template.
set -euo pipefail
cd "$(dirname "$0")/.."

why="${1:?a line for the journal}"
site="${2:?a site}"
days="${3:?days}"
seeds="${4:?seeds}"
shift 4
switches=("$@")
if [ ${#switches[@]} = 0 ]; then
    mapfile -t switches < <(sed -n 's/^    pub \([a-z_]*\): bool,$/\1/p' lib/src/gateway/policy.rs)
fi
template=deploy/node.yaml
out=$(mktemp -d)
cp "$template" "$out/template"
trap 'cp "$out/template" "$template"; rm -rf "$out"' EXIT

play() {
    ROWS="$out/$1.rows" scripts/play-seeds.sh "$why: $1" "$site" "$days" "$seeds" >"$out/$1.txt"
}

play all-on
for switch in "${switches[@]}"; do
    { cat "$out/template"; printf 'policy:\n  %s: false\n' "$switch"; } >"$template"
    play "$switch-off"
    cp "$out/template" "$template"
    difference=$(scripts/compare-plays.sh "$out/all-on.rows" "$out/$switch-off.rows" | grep '^all')
    broken=$(awk 'NF > 9' "$out/$switch-off.rows" | wc -l)
    echo "$(basename "$site" .toml) $switch off: ${difference#all}, plays with a broken rule: $broken"
done
