# Sourced by bin/quickstart: prints start-up times, memory and latency measured by the run.

readonly LOAD_REQUESTS=2000

print_measurements() {
  [ -n "${restart_ready-}" ] || return 0
  echo
  echo "six entry hosts at once, start to all ready: $((entry_hosts_ready - entry_hosts_started)) ms"
  echo "one entry host in the running cell, start to ready: $((restart_ready - restart_started)) ms"
  local name rss
  for name in "${entry_names[0]}" "${entry_names[1]}"; do
    rss=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid_of[$name]}/status" 2>/dev/null)
    [ -n "$rss" ] && echo "resident memory of entry host $name: $((rss / 1024)) MB"
  done
  local address
  for address in "${executor_addresses[@]}"; do
    http POST "$address" /admin '{"serviceMillis":0}'
  done
  echo "latency of requests without service time, directly to an executor and through an entry host:"
  "$root/bin/standin" load --requests "$LOAD_REQUESTS" --key "counter.$COUNTER_SECRET" \
    --direct "http://${executor_addresses[1]}/execute" \
    --entry "http://${entry_addresses[1]}/v1/services/ordering/requests"
  echo
}
