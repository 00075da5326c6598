#!/usr/bin/env bash
# Carries out the procedures of docs/OPERATORS.md on loopback and prints the
# commands with their output. The settings are those of deploy/, with addresses
# in 127.0.0.0/8, without TLS and with shorter waits.
#
#   scripts/operators-lab.sh BIN tringles|kandy [keys]
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1") deployment=${2:-tringles}
mkdir -p run
lab=$(mktemp -d "$PWD/run/lab.XXXXXX")
declare -A process
cleanup() {
  for name in "${!process[@]}"; do
    kill -CONT "${process[$name]}" 2>/dev/null
    kill -KILL "${process[$name]}" 2>/dev/null
  done
}
trap cleanup EXIT
trap 'exit 1' INT TERM

start() {
  local name=$1
  shift
  "$@" >>"$lab/$name.log" 2>&1 &
  process[$name]=$!
}
vm() { start "$1" "$bin/dandelionhoistd" run "$lab/$1.json"; }
signal() { kill "-$1" "${process[$2]}"; }
# ended waits at most 60 s for a process and prints its exit status.
ended() {
  for ((i = 0; i < 600; i++)); do
    kill -0 "${process[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "${process[$1]}" 2>/dev/null
  wait "${process[$1]}" 2>/dev/null
  echo "$1 exited with $?"
  unset "process[$1]"
}
killed() {
  kill -KILL "${process[$1]}"
  wait "${process[$1]}" 2>/dev/null
  unset "process[$1]"
}
section() { printf '\n== %s (%s)\n' "$1" "$(date +%T)"; }
show() {
  echo "\$ $*"
  "$@" 2>&1
  local status=$?
  ((status)) && echo "(exit status $status)"
  return 0
}
dandelionhoist() { timeout 60 "$bin/dandelionhoist" "$@"; }
vms() { dandelionhoist status | sed -n '/^revision/,/^POOL/p' | grep -v '^POOL' | sed '/^$/d'; }
pools() { dandelionhoist status | sed -n '/^POOL .*STATE/,/^HISTOGRAM/p' | grep -v '^HISTOGRAM' | sed '/^$/d'; }
change() { # change FILE SED-EXPRESSION
  dandelionhoist get >"$lab/$1" && sed -i "$2" "$lab/$1"
}
load() { # load RATE DURATION
  timeout 120 "$bin/dandelionhoist-load" --workload="$deployment" --keys="deploy/$deployment/keys.json" \
    "${servers[@]}" "${operators[@]/#/--operator-server=}" --operator-key-file="$lab/operator.key" \
    --rate="$1" --duration="$2" --timeout=60s >"$lab/load.log" 2>&1
  local status=$?
  sed -n '/^CLASS/,/^$/p;/^WITHOUT/,/^$/p;/^bills/p;/^violations/,$p' "$lab/load.log"
  echo "(exit status $status)"
}

echo example-peer-key >"$lab/peer.key"
echo example-session-key >"$lab/session.key"
echo example-operator-key >"$lab/operator.key"
echo "sha256:$(printf %s example-operator-key | sha256sum | cut -d' ' -f1)" >"$lab/operators"
names=() servers=() operators=() entries=()
for file in "deploy/$deployment/settings/"*.json; do
  name=$(basename "$file" .json)
  names+=("$name")
  sed -e 's/"10\./"127./g' -e 's/:808\([012]\)"/:2808\1"/g' -e "s#/etc/dandelionhoist#$lab#" \
    -e "s#/var/lib/dandelionhoist#$lab/data-$name#" -e '/cert-file/d;/"key-file"/d' \
    -e 's#"leave-notice": "5s"#"leave-notice": "500ms", "voter-replaced": "5s"#' "$file" >"$lab/$name.json"
  host=$(sed -n 's/.*"callers": "\(.*\):28080".*/\1/p' "$lab/$name.json")
  servers+=("--server=http://$host:28080")
  operators+=("http://$host:28081")
  entries+=("--entry=http://$host:28082")
done
export DANDELIONHOIST_KEY_FILE=$lab/operator.key DANDELIONHOIST_AUTHOR=operator-1
DANDELIONHOIST_SERVER=$(printf '%s\n' "${operators[@]}")
export DANDELIONHOIST_SERVER

backend() { # backend ID ZONE POOL FLAGS...
  start "$1" "$bin/dandelionhoist-engine" --id "$1" --zone "$2" --pool "$3" --peer-key-file "$lab/peer.key" "${entries[@]}" "${@:4}"
}
source "scripts/lab-${3:-$deployment}.sh"
