# Sourced by bin/quickstart: starts the stand-ins and six entry hosts and stops them by process id.

readonly ZONES=(riga-a riga-b riga-c)
readonly HOSTS_PER_ZONE=2
readonly WORKERS=6
readonly EXECUTORS=6
readonly PORT_COUNT=26
readonly SALT=00112233445566778899aabbccddeeff
readonly BOOT_SECRET=boot-secret
readonly LEASE_MILLIS=4000

pids=()
declare -A pid_of=()
entry_names=()
entry_addresses=()
worker_addresses=()
executor_addresses=()

is_free_port() {
  ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Finds consecutive free ports below the ephemeral range, which outgoing connections use.
find_ports() {
  local try port
  for try in {1..50}; do
    first_port=$((20000 + (RANDOM % 10000)))
    for ((port = first_port; port < first_port + PORT_COUNT; port++)); do
      is_free_port "$port" || continue 2
    done
    return 0
  done
  echo "quickstart: no $PORT_COUNT consecutive free ports found" >&2
  exit 1
}

# key_hash SECRET: prints the SHA-256 of the salt's bytes followed by the secret.
key_hash() {
  local escaped
  escaped=$(sed 's/../\\x&/g' <<<"$SALT")
  { printf "$escaped"; printf '%s' "$1"; } | { sha256sum 2>/dev/null || shasum -a 256; } | cut -c1-64
}

# start NAME COMMAND...: runs a process in the background and redirects its output to $work/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
  disown "$!"
}

stop_all() {
  trap - EXIT INT TERM
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  local deadline=$(($(now_millis) + 5000))
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ "$(now_millis)" -lt "$deadline" ]; do
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

assign_addresses() {
  local i port=$first_port
  log_address=127.0.0.1:$((port++))
  hosts_address=127.0.0.1:$((port++))
  for ((i = 0; i < WORKERS; i++)); do worker_addresses+=("127.0.0.1:$((port++))"); done
  for ((i = 0; i < EXECUTORS; i++)); do executor_addresses+=("127.0.0.1:$((port++))"); done
  local zone
  for zone in "${ZONES[@]}"; do
    for ((i = 1; i <= HOSTS_PER_ZONE; i++)); do
      entry_names+=("$zone-$i")
      entry_addresses+=("127.0.0.1:$((port++))")
      peer_addresses+=("127.0.0.1:$((port++))")
    done
  done
}

zone_of() {
  echo "${ZONES[$(($1 % ${#ZONES[@]}))]}"
}

write_hosts_file() {
  local i separator=
  {
    printf '{"workers":['
    for ((i = 0; i < WORKERS; i++)); do
      printf '%s{"name":"w%d","zone":"%s","rack":"%s-r1","address":"%s",' \
        "$separator" "$i" "$(zone_of $i)" "$(zone_of $i)" "${worker_addresses[$i]}"
      printf '"total":{"milliProcessors":64000,"memoryMib":262144,"accelerators":0},"leaving":false}'
      separator=,
    done
    printf '],"endpoints":['
    separator=
    for ((i = 0; i < EXECUTORS; i++)); do
      printf '%s{"name":"x%d","zone":"%s","service":"ordering","address":"%s",' \
        "$separator" "$i" "$(zone_of $i)" "${executor_addresses[$i]}"
      printf '"slots":8,"connections":60,"leaving":false}'
      separator=,
    done
    printf ']}\n'
  } >"$work/hosts.json"
}

# write_settings INDEX: writes the settings file of an entry host.
write_settings() {
  local index=$1 name=${entry_names[$1]} i separator=
  {
    printf '{\n  // entry host %s\n  "name": "%s",\n  "zone": "%s",\n  "region": "riga",\n' \
      "$name" "$name" "${name%-*}"
    printf '  "callerAddress": "%s",\n  "peerAddress": "%s",\n' \
      "${entry_addresses[$index]}" "${peer_addresses[$index]}"
    printf '  "platformLog": "%s",\n  "hostList": "%s",\n' "$log_address" "$hosts_address"
    printf '  "bootstrapKey": {"name": "boot", "salt": "%s", "hash": "%s"},\n' \
      "$SALT" "$(key_hash "$BOOT_SECRET")"
    printf '  "leaseMillis": %d,\n  "workerSyncMillis": 1000,\n  "peers": [' "$LEASE_MILLIS"
    for i in "${!entry_names[@]}"; do
      [ "$i" -eq "$index" ] && continue
      printf '%s\n    {"name": "%s", "zone": "%s", "region": "riga", "address": "%s"}' \
        "$separator" "${entry_names[$i]}" "${entry_names[$i]%-*}" "${peer_addresses[$i]}"
      separator=,
    done
    printf '\n  ]\n}\n'
  } >"$work/$name.json"
}

start_platform() {
  local i
  write_hosts_file
  start log "$root/bin/standin" log --listen "$log_address"
  start hosts "$root/bin/standin" hosts --listen "$hosts_address" --file "$work/hosts.json"
  for ((i = 0; i < WORKERS; i++)); do
    start "w$i" "$root/bin/standin" worker --listen "${worker_addresses[$i]}" --name "w$i" --seed "$i"
  done
  for ((i = 0; i < EXECUTORS; i++)); do
    start "x$i" "$root/bin/standin" executor --listen "${executor_addresses[$i]}" --name "x$i" --seed "$i"
  done
  local name
  for name in log hosts w{0..5} x{0..5}; do
    await 30 "stand-in $name listens" grep -q '^listening on' "$work/$name.out" || tail -n 5 "$work/$name.out"
  done
}

is_ready() {
  http GET "$1" /health/ready
  [ "$HTTP_STATUS" = 200 ]
}

start_entry_host() {
  local index=$1
  write_settings "$index"
  start "${entry_names[$index]}" "$root/bin/cactusspringd" --settings "$work/${entry_names[$index]}.json"
}

start_entry_hosts() {
  local i
  for i in "${!entry_names[@]}"; do
    start_entry_host "$i"
  done
  for i in "${!entry_names[@]}"; do
    await 60 "entry host ${entry_names[$i]} ready" is_ready "${entry_addresses[$i]}" \
      || tail -n 5 "$work/${entry_names[$i]}.out"
  done
}
