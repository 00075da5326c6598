# Certificates and keys, on one entry VM; sourced by operators-lab.sh.
certificate() { # certificate DAYS-NAME
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 -subj "/CN=$1" \
    -addext "subjectAltName=IP:127.1.9.11" -keyout "$lab/new.key" -out "$lab/new.crt" 2>/dev/null
  mv "$lab/new.key" "$lab/tls.key"
  mv "$lab/new.crt" "$lab/tls.crt"
}
subject() {
  openssl s_client -connect 127.1.9.11:28080 </dev/null 2>/dev/null | openssl x509 -noout -subject
}
certificate first
cat >"$lab/solo.json" <<SETTINGS
{
  "format": 1, "name": "solo", "zone": "mrc-a", "region": "mauricie",
  "listen": {"callers": "127.1.9.11:28080", "operators": "127.1.9.11:28081", "peers": "127.1.9.11:28082",
    "cert-file": "$lab/tls.crt", "key-file": "$lab/tls.key"},
  "keys": {"peer-file": "$lab/peer.key", "operator-file": "$lab/operators", "session-file": "$lab/session.key"},
  "state": {"folder": "$lab/data-solo", "voters": [{"address": "127.1.9.11:28082", "zone": "mrc-a"}]},
  "timing": {"leave-notice": "500ms"},
}
SETTINGS
vm solo
sleep 2
export DANDELIONHOIST_SERVER=https://127.1.9.11:28081 DANDELIONHOIST_CA_FILE=$lab/tls.crt
section "certificate"
show dandelionhoist apply --wait deploy/tringles/tables.json
show subject
certificate second
show subject
section "caller key"
ask() {
  curl -sS --cacert "$lab/tls.crt" -H "Authorization: Bearer $1" -H "Content-Type: application/json" \
    -d '{"route": "finish-questions", "prompt": "Is matte brass in stock?"}' \
    https://127.1.9.11:28080/dandelionhoist.v1.RouterService/Ask
  echo
}
new=sha256:$(printf %s new-key | sha256sum | cut -d' ' -f1)
change both.json "/\"crew-east\": {/,/}/s/\"key-hashes\": \[\(.*\)\]/\"key-hashes\": [\1, \"$new\"]/"
show dandelionhoist apply --wait "$lab/both.json"
show ask example-tringles-crew-east
show ask new-key
change new.json "/\"crew-east\": {/,/}/s/\"key-hashes\": \[.*\]/\"key-hashes\": [\"$new\"]/"
show dandelionhoist apply --wait "$lab/new.json"
show ask example-tringles-crew-east
section "operator key"
echo "sha256:$(printf %s next-operator-key | sha256sum | cut -d' ' -f1)" >>"$lab/operators"
echo next-operator-key >"$lab/next.key"
show dandelionhoist --key-file "$lab/next.key" history -n 1
signal TERM solo
ended solo
vm solo
sleep 3
show dandelionhoist --key-file "$lab/next.key" history -n 1
signal TERM solo
ended solo
