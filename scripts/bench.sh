#!/usr/bin/env bash
# Prints the measurements of docs/RESULTS.md: simulated replays of both deployments, of
# floods and of large accounts, each with its baseline, and a run of the workload on
# real processes for each routing policy.
set -eu
cd "$(dirname "$0")/.."
seed=${SEED:-1}
replay() { bin/cicada-load replay -seed "$seed" -workload "$@"; }
for site in bastones mobiliario; do
  echo "== $site, steady"
  replay "samples/$site.yaml"
  for fault in 'crash-at: 30s' 'restart-at: 30s' 'lose-events: 0.5' 'import-rate: 0'; do
    echo "== $site, $fault"
    mkdir -p out
    sed "s/^site:/site:\n  $fault/" "samples/$site.yaml" >out/variant.yaml
    replay out/variant.yaml -policy expect
  done
  echo "== $site, popular customers exchanged at 30s"
  sed 's/zipf/shift: 30s, zipf/' "samples/$site.yaml" >out/variant.yaml
  replay out/variant.yaml
done
for flood in flood-other flood-urgent; do
  echo "== $flood, without the flood"
  sed 's/factor: 20/factor: 1/' "samples/$flood.yaml" >out/variant.yaml
  replay out/variant.yaml -policy expect
  echo "== $flood"
  replay "samples/$flood.yaml" -policy expect
done
echo "== small accounts alone, then beside large ones"
replay samples/large.yaml -policy expect -without large
replay samples/large.yaml -policy expect
echo "== real processes, by policy"
scripts/compare.sh samples/workload.yaml out/bench
