#!/usr/bin/env bash
# Runs three entry VMs, simulated backend servers and the load generator on
# loopback. Exits with 0 when every check of the load generator holds and every
# process ends with 0 after SIGTERM.
#
#   scripts/run-local.sh [BIN]      BIN holds the programs; bin by default
#
# DURATION (10s), RATE (40), SEED (1) and BASE_PORT (17000) change the run.
# KEEP=1 keeps the folder with settings, logs and state.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=${1:-bin}
duration=${DURATION:-10s} rate=${RATE:-40} seed=${SEED:-1} base=${BASE_PORT:-17000}
mkdir -p run
dir=$(mktemp -d "$PWD/run/local.XXXXXX")
zones=(mrc-a mrc-b mrc-c)
declare -A process # name to process id
failed=0

fail() {
  echo "run-local: $*" >&2
  failed=1
}

# stop_all sends SIGTERM to the named processes and checks their exit status.
# A process that has not ended after 60 s is killed.
stop_all() {
  local name pid status
  for name in "$@"; do kill -TERM "${process[$name]}" 2>/dev/null; done
  for name in "$@"; do
    pid=${process[$name]}
    unset "process[$name]"
    for ((i = 0; i < 600; i++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null && fail "$name had not ended 60 s after SIGTERM"
    wait "$pid"
    status=$?
    ((status == 0)) || fail "$name ended with $status: $(tail -n 1 "$dir/$name.log")"
  done
}

cleanup() {
  local name
  for name in "${!process[@]}"; do kill -KILL "${process[$name]}" 2>/dev/null; done
  if ((failed)) || [[ -n ${KEEP:-} ]]; then echo "run-local: logs are in $dir"; else rm -rf "$dir"; fi
}
trap cleanup EXIT
trap 'failed=1; exit 1' INT TERM

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  process[$name]=$!
}

echo example-peer-key >"$dir/peer.key"
echo example-session-key >"$dir/session.key"
echo example-operator-key >"$dir/operator.key"
echo "sha256:$(printf %s example-operator-key | sha256sum | cut -d' ' -f1)" >"$dir/operators"

voters='' seeds='' servers=() operators=() entries=()
for i in 0 1 2; do
  peer=127.0.0.1:$((base + 20 + i))
  voters+="{\"address\": \"$peer\", \"zone\": \"${zones[i]}\"}, "
  seeds+="\"$peer\", "
  servers+=("--server=http://127.0.0.1:$((base + i))")
  operators+=("http://127.0.0.1:$((base + 10 + i))")
  entries+=("--entry=http://$peer")
done
for i in 0 1 2; do
  cat >"$dir/entry-$i.json" <<SETTINGS
{
  "format": 1, "name": "entry-$i", "zone": "${zones[i]}", "region": "mauricie",
  "listen": {"callers": "127.0.0.1:$((base + i))", "operators": "127.0.0.1:$((base + 10 + i))", "peers": "127.0.0.1:$((base + 20 + i))"},
  "peers": {"seeds": [$seeds], "entry-vms": 3},
  "keys": {"peer-file": "$dir/peer.key", "operator-file": "$dir/operators", "session-file": "$dir/session.key"},
  "state": {"folder": "$dir/data-$i", "voters": [$voters]},
  "timing": {"leave-notice": "500ms"},
}
SETTINGS
  "$bin/dandelionhoistd" check-settings "$dir/entry-$i.json" || exit 1
  start "entry-$i" "$bin/dandelionhoistd" run "$dir/entry-$i.json"
done

backends=()
backend() { # backend ID ZONE POOL FLAGS...
  local id=$1 zone=$2 pool=$3
  shift 3
  backends+=("$id")
  start "$id" "$bin/dandelionhoist-engine" --id "$id" --zone "$zone" --pool "$pool" \
    --peer-key-file "$dir/peer.key" "${entries[@]}" "$@"
}
for i in 0 1 2; do
  backend "atelier-llm-$((2 * i))" "${zones[i]}" atelier-llm --version pine/v1 --version oak/v1
  backend "atelier-llm-$((2 * i + 1))" "${zones[i]}" atelier-llm --version oak/v1 --version oak/v2
  backend "atelier-app-$i" "${zones[i]}" atelier-app --kind service --version cut-order/v1
done

tool() { "$bin/dandelionhoist" --key-file "$dir/operator.key" "${operators[@]/#/--server=}" "$@"; }

# Edits need a majority of voters, which may still be starting.
applied=
for ((i = 0; i < 20; i++)); do
  if tool --timeout 10s apply --wait deploy/tringles/tables.json >"$dir/apply.log" 2>&1; then
    applied=1
    break
  fi
  sleep 0.5
done
cat "$dir/apply.log"
[[ $applied ]] || { fail "the tables are not in force"; exit 1; }

# Wait until every entry VM takes new work and knows both pools.
for ((i = 0; i < 100; i++)); do
  ready=1
  for o in "${operators[@]}"; do
    pools=$("$bin/dandelionhoist" --key-file "$dir/operator.key" --server "$o" status 2>/dev/null)
    [[ $pools == *atelier-llm* && $pools == *atelier-app* ]] || ready=
  done
  [[ $ready ]] && break
  sleep 0.1
done
[[ $ready ]] || fail "the pools were not in every entry VM's status after 10 s"

timeout --kill-after=10 300 "$bin/dandelionhoist-load" --workload=tringles --keys=deploy/tringles/keys.json \
  "${servers[@]}" "${operators[@]/#/--operator-server=}" --operator-key-file="$dir/operator.key" \
  --rate="$rate" --duration="$duration" --seed="$seed" --timeout=60s >"$dir/load.log" || fail "dandelionhoist-load ended with $?"
cat "$dir/load.log"
# Without a complete ledger the load generator does not look for missing bills.
grep -q '^bills: .*, complete$' "$dir/load.log" || fail "the bills were not checked"

tool status || fail "status ended with $?"

stop_all "${backends[@]}"
stop_all entry-0 entry-1 entry-2
((failed)) || echo "run-local: all checks hold; 12 processes ended with 0"
exit "$failed"
