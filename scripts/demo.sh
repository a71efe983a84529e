#!/usr/bin/env bash
# Installs the packages, builds, and starts stand-ins and three instances. Then shows a routed and streamed answer, a
# session that keeps its version, and a roll-out that is planned and confirmed. Stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh >/dev/null

work=$(mktemp -d)
pids=()
cleanup() {
    for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

base=${RUNLINK_DEMO_PORT:-17400}
export RUNLINK_DEMO_SECRETS=demo-secret
export RUNLINK_OPERATOR_KEY=operator-demo
runlink() { build/src/runlink/app/runlink --address "127.0.0.1:$((base + 11))" "$@"; }
await() { until "$@" >/dev/null 2>&1; do sleep 0.1; done; }

build/standins/standin_platform --port "$base" >"$work/platform.log" & pids+=($!)
for n in 1 2; do
    build/standins/standin_endpoint --port $((base + n)) >"$work/engine-$n.log" & pids+=($!)
done
for n in 1 2 3; do
    sed -e "s/@N@/$n/g; s/@PLATFORM@/$base/; s/@CALLERS@/$((base + 10 + n))/; s/@PEERS@/$((base + 20 + n))/; s/@SEED@/$((base + 21))/" \
        examples/demo/settings.json.in >"$work/settings-$n.json"
    build/src/runlink/app/runlinkd --settings "$work/settings-$n.json" 2>"$work/runlinkd-$n.log" & pids+=($!)
done
await curl -sf "http://127.0.0.1:$((base + 11))/healthz"

echo "== the first configuration, planned and confirmed"
sed -e "s/@ENGINE1@/$((base + 1))/; s/@ENGINE2@/$((base + 2))/" examples/demo/intent.json.in >"$work/intent.json"
runlink plan -f "$work/intent.json" >"$work/plan.json" 2>/dev/null
runlink confirm "$work/plan.json"
for n in 1 2 3; do await curl -sf "http://127.0.0.1:$((base + 10 + n))/readyz"; done
runlink status

# Sends a completion request: ask INSTANCE CURL_ARGUMENT...
ask() {
    local n=$1
    shift
    curl -sS -N -D "$work/headers" -H 'Authorization: Bearer office-key' -H 'Content-Type: application/json' "$@" \
        "http://127.0.0.1:$((base + 10 + n))/v1/chat/completions"
}
body='{"model":"review","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Why did the transfer stall?"}]}'

echo; echo "== a routed, streamed answer"
ask 1 -d "$body"
grep -i '^runlink-' "$work/headers"

echo; echo "== a session, started at instance 1 and continued at 2 and 3"
ask 1 -H 'Runlink-Session: new' -d "$body" >/dev/null
session=$(tr -d '\r' <"$work/headers" | sed -n 's/^runlink-session: //Ip')
tr -d '\r' <"$work/headers" | grep -i '^runlink-version'
for n in 2 3; do
    ask "$n" -H "Runlink-Session: $session" -d "$body" >/dev/null
    tr -d '\r' <"$work/headers" | grep -i '^runlink-version'
done

echo; echo "== a roll-out, planned and confirmed"
echo '{"changes":[{"action":"roll_out","version":"review/r2","share_percent":50}]}' >"$work/roll-out.json"
runlink plan -f "$work/roll-out.json" >"$work/roll-out-plan.json"
runlink confirm "$work/roll-out-plan.json"
for _ in $(seq 1 12); do
    ask 2 -d "$body" >/dev/null
    tr -d '\r' <"$work/headers" | sed -n 's/^runlink-version: //Ip'
done | sort | uniq -c
echo "the session still has: $(ask 3 -H "Runlink-Session: $session" -d "$body" >/dev/null; tr -d '\r' <"$work/headers" | sed -n 's/^runlink-version: //Ip')"
runlink versions
