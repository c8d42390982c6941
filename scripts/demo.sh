#!/usr/bin/env bash
# Starts the stand-ins and three daemons, applies the note examples/maracas-demo.json
# (the configuration), sends requests and stops all processes gracefully.
# Runs the programs in build/bin and uses only loopback addresses. If KILL_NODE is
# set, it also kills a daemon under load.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
dir=build/demo
operator_key=demo-operator-key
rm -rf "$dir"
mkdir -p "$dir"
pids=()

stop_all() {
  trap - EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

cat >"$dir/standins.json" <<JSON
{
  "platform": {"address": "127.30.0.1:7000", "listLagMs": 200, "loadsPerSecond": 100},
  "engines": [
    {"pool": "care-engines", "idPrefix": "ps-", "count": 7, "region": "tt-north", "failureDomain": "port-spain",
     "fabricDomain": "port-spain-f1", "firstAddress": "127.30.1.1:8000", "accelerators": 8, "loadMs": 200},
    {"pool": "care-engines", "idPrefix": "ar-", "count": 7, "region": "tt-north", "failureDomain": "arima",
     "fabricDomain": "arima-f1", "firstAddress": "127.30.2.1:8000", "accelerators": 8, "loadMs": 200, "ignoreFencing": true}
  ],
  "servers": [
    {"pool": "front-desk", "count": 3, "region": "tt-north", "failureDomain": "chaguanas", "firstAddress": "127.30.3.1:8000"}
  ]
}
JSON

domains=(port-spain arima chaguanas)
hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
for i in 1 2 3; do
  cat >"$dir/node$i.json" <<JSON
{
  "node": "maracas-$i", "region": "tt-north", "failureDomain": "${domains[$((i - 1))]}",
  "callerAddress": "127.30.10.$i:7001", "operatorAddress": "127.30.10.$i:7002", "peerAddress": "127.30.10.$i:7003",
  "platformAddresses": ["127.30.0.1:7000"],
  "peers": ["127.30.10.1:7003", "127.30.10.2:7003", "127.30.10.3:7003"],
  "operatorKeys": [{"name": "demo", "keySha256": "$hash"}],
  "peerKey": "demo-peer-key-0123456789",
  "bounds": {"addressTtl": "2s"}
}
JSON
done

"$bin/rattanstandin" --config "$dir/standins.json" 2>"$dir/standins.log" &
standins=$!
pids+=($standins)
for i in 1 2 3; do
  "$bin/rattanlanding" --config "$dir/node$i.json" 2>"$dir/node$i.log" &
  pids+=($!)
done

export RATTANCTL_ADDRESS=127.30.10.1:7002,127.30.10.2:7002,127.30.10.3:7002
export RATTANCTL_KEY=$operator_key
applied=
for _ in $(seq 1 50); do
  if "$bin/rattanctl" apply examples/maracas-demo.json >"$dir/apply.log" 2>&1; then
    applied=yes
    break
  fi
  sleep 0.2
done
cat "$dir/apply.log"
[[ -n $applied ]]

"$bin/rattanbench" demo --organisation maracas-bonsai-lodge --key example-key-maracas-bonsai-lodge \
  --seeds 127.30.10.1:7001,127.30.10.2:7001,127.30.10.3:7001 \
  --servers 127.30.3.1:8000,127.30.3.2:8000,127.30.3.3:8000
for _ in $(seq 1 50); do
  if (($("$bin/rattanctl" status | grep -cE ' serving .* true$') == 4)); then break; fi
  sleep 0.2
done
"$bin/rattanctl" status

if [[ ${KILL_NODE:-} ]]; then
  # Shows that callers receive no wrong response when a daemon is killed under load.
  (sleep 2; kill -KILL "${pids[1]}") &
  killer=$!
  "$bin/rattanbench" load --organisation maracas-bonsai-lodge --key example-key-maracas-bonsai-lodge \
    --seeds 127.30.10.1:7001,127.30.10.2:7001,127.30.10.3:7001 --duration 6s --check-answers
  wait "$killer"
  unset 'pids[1]'
fi

trap - EXIT
code=0
for pid in "${pids[@]:1}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:1}"; do wait "$pid" || code=1; done
kill -TERM "$standins"
wait "$standins" || code=1
echo "all processes stopped, exit $code"
exit $code
