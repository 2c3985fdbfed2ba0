#!/usr/bin/env bash
# Runs the README's processes and checks two properties that only real processes
# show: an upload of 200 MB completes through a VM that receives SIGTERM meanwhile,
# and a VM that is paused for 30 s by SIGSTOP runs no request whose caller has
# given up.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
go build -o "$work/" ./cmd/primroseloom ./cmd/primroseloomd

targets=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103,127.0.0.1:7104,127.0.0.1:7105,127.0.0.1:7106
"$work/primroseloom" standin platform --listen 127.0.0.1:7000 --deployment examples/quickstart/deployment.json >"$work/platform.log" 2>&1 & pids+=($!)
"$work/primroseloom" standin target --control 127.0.0.1:7100 --listen "$targets" >"$work/targets.log" 2>&1 & pids+=($!)
for vm in 1 2 3; do
  "$work/primroseloomd" serve --settings "examples/quickstart/vm-$vm.json" >"$work/vm-$vm.log" 2>&1 & pids+=($!)
done
first=${pids[2]}
second=${pids[3]}
directory=http://127.0.0.1:8002/v1/directory
for _ in $(seq 50); do
  if curl -sf "$directory?service=booking&customer=tallinn-spa" | grep -q vm-2; then break; fi
  sleep 0.2
done
customer=(-H 'Host: booking.example' -H 'Primroseloom-Credential: tallinn-secret')
failed=0

head -c 200000000 /dev/zero >"$work/upload"
curl -s --limit-rate 50M -X PUT http://127.0.0.1:8001/forms/1 -T "$work/upload" "${customer[@]}" \
  -H 'Primroseloom-Timeout-Ms: 120000' >"$work/answer" &
upload=$!
sleep 1
kill -TERM "$first"
wait "$upload" || failed=1
grep -q '"body_bytes":200000000' "$work/answer" || failed=1
echo "response to the upload through a stopping VM: $(cat "$work/answer")"

prefix=$(curl -s "$directory?service=booking&customer=tallinn-spa" | tr '{' '\n' | sed -n 's/.*"key_prefix":"\(vm-2[^"]*\)".*/\1/p')
kill -STOP "$second"
callers=()
for n in 1 2 3 4 5; do
  curl -s -m 40 -X POST http://127.0.0.1:8002/bookings -d '{}' "${customer[@]}" -H "Request-Id: late-$n" \
    -H "Idempotency-Key: ${prefix}late-$n" -H 'Primroseloom-Timeout-Ms: 3000' >"$work/late-$n" & callers+=($!)
done
curl -s -m 40 -X POST http://127.0.0.1:8003/bookings -d '{}' "${customer[@]}" -H 'Request-Id: late-6' \
  -H "Idempotency-Key: ${prefix}late-6" -H 'Primroseloom-Timeout-Ms: 3000' >"$work/late-6"
sleep 27
kill -CONT "$second"
for caller in "${callers[@]}"; do wait "$caller" || failed=1; done
sleep 2
for n in 1 2 3 4 5 6; do
  echo "response to request late-$n: $(cat "$work/late-$n")"
  if curl -s "http://127.0.0.1:7100/runs?target=target-$n" | grep -q late; then
    echo "target-$n ran a request after its deadline"
    failed=1
  fi
done
exit "$failed"
