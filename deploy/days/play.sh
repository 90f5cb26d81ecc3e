#!/bin/sh
# Play every day of this folder with some seeds: play.sh BENCH SITE FIRST_SEED LAST_SEED
# BENCH is the platform's command for one day; a line a day goes to standard output.
set -eu
days=$(dirname "$0")
bench=$1 site=$2 first=$3 last=$4
for day in "$days"/*.toml; do
    for seed in $(seq "$first" "$last"); do
        report=$("$bench" run "$site" "$day" --seed "$seed" --no-cpu 2>&1) || true
        verdict=$(echo "$report" | grep -E 'BROKEN|broken|rule|^worth' | head -3 | tr '\n' ' ')
        echo "$(basename "$day" .toml) $seed: $verdict"
    done
done
