#!/usr/bin/env bash
# Measures the resource use of an idle instance: processor time, private memory, messages to peers, calls to the store.
# Usage: bench/idle.sh INSTANCES [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/processes.sh
n=$1 seconds=${2:-10}
start_group "$n" 1
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
private_kb() { awk '/^Private/ { sum += $2 } END { print sum }' "/proc/$1/smaps_rollup"; }
store_calls() { curl -s "http://127.0.0.1:$platform/control" | python3 -c 'import json,sys; d=json.load(sys.stdin); print(d["reads"]+d["watches"], d["writes"])'; }
t0=$(ticks "${pids[0]}") b0=$(metric "${callers[0]}" runlink_peer_sent_bytes_total) m0=$(metric "${callers[0]}" runlink_peer_sent_messages_total)
read -r r0 w0 < <(store_calls)
sleep "$seconds"
t1=$(ticks "${pids[0]}") b1=$(metric "${callers[0]}" runlink_peer_sent_bytes_total) m1=$(metric "${callers[0]}" runlink_peer_sent_messages_total)
read -r r1 w1 < <(store_calls)
python3 - <<EOF
s = $seconds
print(f"instances $n: {($t1 - $t0) / s:.2f} % of a core, $(private_kb "${pids[0]}") KB private, "
      f"{($b1 - $b0) / s / 1000:.2f} KB/s and {($m1 - $m0) / s:.1f} messages/s sent to peers, "
      f"store reads {($r1 - $r0) / s:.1f}/s and writes {($w1 - $w0) / s:.1f}/s by all")
EOF
