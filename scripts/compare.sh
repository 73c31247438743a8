#!/usr/bin/env bash
# Runs a workload once for each routing policy, each time on new processes, and prints
# a table that compares the runs: compare.sh WORKLOAD OUT [POLICY...]
set -eu
cd "$(dirname "$0")/.."
workload=$1 out=$2
shift 2
policies=${*:-expect round-robin least-load prefix-hash}
summaries=()
for policy in $policies; do
  POLICY=$policy scripts/demo.sh bin/cicada-load run -workload "$workload" -label "$policy" -report "$out/$policy" >"out/$policy.txt" 2>&1 ||
    { cat "out/$policy.txt"; exit 1; }
  summaries+=("$out/$policy/summary.json")
done
bin/cicada-load compare "${summaries[@]}"
