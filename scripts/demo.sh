#!/usr/bin/env bash
# Starts the processes of the demonstration on loopback addresses, runs the command
# given as arguments, and stops the processes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out/log
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT
start() { # start LOG COMMAND...
  local log="out/log/$1.log"
  shift
  "$@" >"$log" 2>&1 &
  pids=("$!" "${pids[@]}")
}
wait_for() { # wait_for URL
  for _ in $(seq 100); do
    if curl -sf -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no response from $1, see out/log" >&2
  return 1
}
ctl() { CICADA_OPERATOR_KEY=operator-demo-key bin/cicadactl -router 127.0.0.1:7201 "$@"; }

start platform bin/cicada-stand platform -listen 127.0.0.1:7000
for n in 1 2 3; do
  start "engine-$n" bin/cicada-stand engine -listen "127.0.0.1:740$n" -name "engine-$n" -cache-pieces "${CACHE_PIECES:-128}" -kept-store 127.0.0.1:7000
done
start shop-1 bin/cicada-stand service -listen 127.0.0.1:7501
wait_for http://127.0.0.1:7000/v1/hosts
curl -sf -X PUT --data-binary @samples/hosts.json -o /dev/null http://127.0.0.1:7000/control/hosts
for h in a b; do
  { cat "samples/router-$h.yaml"; printf 'routing:\n  policy: %s\n  cache-events: %s\n' "${POLICY:-expect}" "${CACHE_EVENTS:-true}"; } >"out/router-$h.yaml"
  start "router-$h" bin/cicada-router -settings "out/router-$h.yaml"
done
wait_for http://127.0.0.1:7201/livez
wait_for http://127.0.0.1:7202/livez
ctl publish -base 0 samples/fleet.yaml
ctl publish -base 0 samples/contract-bastones.yaml
ctl publish -base 0 samples/contract-mobiliario.yaml
wait_for http://127.0.0.1:7201/readyz
wait_for http://127.0.0.1:7202/readyz
sleep 1
"$@"
