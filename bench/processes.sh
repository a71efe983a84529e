# Sourced by the benchmarks: starts a platform, endpoints and instances on loopback, and kills them on exit.
# Sets: callers (client addresses of the instances), engines (addresses of the endpoints), pids (process ids of the
# instances), platform (port of the platform).

build=${RUNLINK_BUILD:-build}
base=${RUNLINK_BENCH_PORT:-18400}
export RUNLINK_BENCH_SECRETS=bench-secret
export RUNLINK_OPERATOR_KEY=operator-demo
all_pids=() pids=() callers=() engines=()
work=$(mktemp -d)
end_all() {
    for pid in "${all_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap end_all EXIT

await() { until "$@" >/dev/null 2>&1; do sleep 0.1; done; }

start_group() { # arguments: number of instances, number of endpoints
    local n seeds="" endpoints=""
    platform=$base
    "$build/standins/standin_platform" --port "$base" >/dev/null & all_pids+=($!)
    for n in $(seq 1 "$2"); do
        "$build/standins/standin_endpoint" --port $((base + n)) >/dev/null & all_pids+=($!)
        engines+=("127.0.0.1:$((base + n))")
        endpoints+="${endpoints:+,}{\"name\":\"e$n\",\"host\":\"127.0.0.1\",\"port\":$((base + n)),\"failure_domain\":\"d$((n % 3))\",\"capacity\":64,\"versions\":[\"review/r1\"]}"
    done
    for n in $(seq 1 "$1"); do seeds+="${seeds:+,}\"127.0.0.1:$((base + 300 + n))\""; done
    for n in $(seq 1 "$1"); do
        cat >"$work/$n.json" <<EOF
{"deployment":"demo","instance":{"id":"i$n","failure_domain":"d$((n % 3))"},
 "listen":{"callers":"127.0.0.1:$((base + 100 + n))","peers":"127.0.0.1:$((base + 300 + n))"},"seeds":[$seeds],
 "expected_instances":$1,"store":{"host":"127.0.0.1","port":$base},"secrets_environment":"RUNLINK_BENCH_SECRETS",
 "operator_key_hashes":["$(printf %s operator-demo | sha256sum | cut -d' ' -f1)"],"log":{"level":"error"}}
EOF
        "$build/src/runlink/app/runlinkd" --settings "$work/$n.json" 2>>"$work/log" & all_pids+=($!) pids+=($!)
        callers+=("127.0.0.1:$((base + 100 + n))")
    done
    for n in "${callers[@]}"; do await curl -sf "http://$n/healthz"; done
    cat >"$work/intent.json" <<EOF
{"configuration":{"deployment":"demo",
 "accounts":[{"name":"office","key_hashes":["$(printf %s office-key | sha256sum | cut -d' ' -f1)"],"allow":["review/*"]}],
 "models":[{"name":"review","versions":[{"name":"r1","cost_per_1k_tokens":400}]}],
 "pools":[{"name":"engines","endpoints":[$endpoints]}]}}
EOF
    "$build/src/runlink/app/runlink" --address "${callers[0]}" plan -f "$work/intent.json" >"$work/plan.json" 2>/dev/null
    "$build/src/runlink/app/runlink" --address "${callers[0]}" confirm "$work/plan.json" >/dev/null 2>&1
    for n in "${callers[@]}"; do await curl -sf "http://$n/readyz"; done
    sleep 4
}

metric() { curl -s "http://$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }
