# Sourced by bin/quickstart: the steps, each of which checks the responses that it receives.

readonly OPS_SECRET=ops-secret
readonly COUNTER_SECRET=counter-secret
readonly PLANS_SECRET=plans-secret
readonly LATE_SECRET=late-secret
readonly SMALL_TASK='{"resources":{"milliProcessors":1000,"memoryMib":512,"accelerators":0}'

run_steps() {
  step_start
  [ "$step_failed" -eq 0 ] || return 0
  step_note
  step_invalid_note
  step_requests
  step_request_refusals
  step_batch
  step_gang
  step_replicas
  step_withdrawn_key
  step_leaving_endpoint
  step_graceful_shutdown
  step_open_queue
  step_violations
}

# cactusspring KEY ARGUMENT...: runs the command-line tool against the first entry host with the key
# file of KEY.
cactusspring() {
  local key=$1
  shift
  "$root/bin/cactusspring" "$@" --host "http://${entry_addresses[0]}" --key-file "$work/$key.key" 2>&1
}

# auth_header KEY: prints the authorization header for a key.
auth_header() {
  printf 'authorization: Bearer %s' "$(cat "$work/$1.key")"
}

key_item() {
  printf '{"change":"add","item":{"kind":"key","name":"%s",%s,"salt":"%s","hash":"%s"}}' \
    "$1" "$2" "$SALT" "$(key_hash "$3")"
}

team_item() {
  printf '{"change":"add","item":{"kind":"team","name":"%s","share":%d,"maxRunning":%d,"open":%s}}' "$@"
}

zone_item() {
  printf '{"change":"add","item":{"kind":"zone","name":"%s","region":"riga","shards":1,"entryHosts":["%s-1","%s-2"]}}' \
    "$1" "$1" "$1"
}

write_first_note() {
  local zone
  {
    printf '{"id":"first","operator":"boot","changes":['
    for zone in "${ZONES[@]}"; do printf '%s,' "$(zone_item "$zone")"; done
    printf '%s,' "$(team_item counter 4 200 false)" "$(team_item plans 2 50 false)" \
      "$(team_item walk-in 1 2 true)"
    printf '%s,' "$(key_item ops '"operator":true' "$OPS_SECRET")" \
      "$(key_item counter '"team":"counter"' "$COUNTER_SECRET")" \
      "$(key_item plans '"team":"plans"' "$PLANS_SECRET")" \
      "$(key_item late '"team":"counter"' "$LATE_SECRET")"
    printf '{"change":"add","item":{"kind":"service","name":"ordering","team":"counter","replicas":0}},'
    printf '{"change":"add","item":{"kind":"service","name":"feed","team":"plans","replicas":3,"task":%s}}}' "$SMALL_TASK"
    printf ']}'
  } >"$work/first.json"
  echo "boot.$BOOT_SECRET" >"$work/boot.key"
  echo "ops.$OPS_SECRET" >"$work/ops.key"
  echo "counter.$COUNTER_SECRET" >"$work/counter.key"
  echo "plans.$PLANS_SECRET" >"$work/plans.key"
  echo "late.$LATE_SECRET" >"$work/late.key"
  chmod 600 "$work"/*.key
}

step_start() {
  step "0 the platform's stand-ins and six entry hosts start"
  start_platform
  entry_hosts_started=$(now_millis)
  start_entry_hosts
  entry_hosts_ready=$(now_millis)
  end_step
}

# has_revision ADDRESS REVISION: succeeds if the revision or a later one is in force on an entry host.
has_revision() {
  http GET "$1" /v1/status '' "$(auth_header ops)"
  local revision
  revision=$(json_field revision)
  [ "$HTTP_STATUS" = 200 ] && [ "${revision:-0}" -ge "$2" ]
}

await_revision_everywhere() {
  local revision=$1 i
  for i in "${!entry_addresses[@]}"; do
    await 10 "revision $revision in force on ${entry_names[$i]}" \
      has_revision "${entry_addresses[$i]}" "$revision"
  done
}

step_note() {
  step "1 a release note is accepted and in force on every entry host"
  write_first_note
  local answer
  answer=$(cactusspring boot note apply "$work/first.json" --output json | tr -d ' \n')
  check_contains 'response to the note' "$answer" '"accepted":true'
  HTTP_BODY=$answer
  local revision
  revision=$(json_field revision)
  await_revision_everywhere "${revision:-1}"
  answer=$(cactusspring ops note status)
  check_contains 'revision shown' "$answer" "${revision:-1}"
  end_step
}

step_invalid_note() {
  step "1 a note with a negative share or a missing team is refused and changes nothing"
  local before
  http GET "${entry_addresses[0]}" /v1/configuration '' "$(auth_header ops)"
  before=$HTTP_BODY
  local note='{"id":"bad","operator":"ops","changes":['
  note+="$(team_item good 1 1 false),$(team_item bad -1 1 false)]}"
  http POST "${entry_addresses[0]}" /v1/notes "$note" "$(auth_header ops)"
  check_equal 'status of a negative share' "$HTTP_STATUS" 422
  note='{"id":"bad2","operator":"ops","changes":['
  note+="$(key_item stray '"team":"nobody"' x)]}"
  http POST "${entry_addresses[0]}" /v1/notes "$note" "$(auth_header ops)"
  check_equal 'status of a missing team' "$HTTP_STATUS" 422
  check_contains 'reason' "$HTTP_BODY" note-invalid
  http GET "${entry_addresses[0]}" /v1/configuration '' "$(auth_header ops)"
  check_equal 'configuration after the refused notes' "$HTTP_BODY" "$before"
  end_step
}

step_requests() {
  step "2 each request receives its own complete response"
  local answer i
  answer=$(cactusspring counter request ordering --body clipper --idempotent)
  check_contains 'idempotent request' "$answer" '"echo":"clipper"'
  answer=$(cactusspring counter request ordering --body razor)
  check_contains 'non-idempotent request' "$answer" '"echo":"razor"'
  for i in "${!entry_addresses[@]}"; do
    http POST "${entry_addresses[$i]}" /v1/services/ordering/requests "pomade-$i" \
      "$(auth_header counter)" "x-request-id: own-$i" 'content-type: text/plain'
    check_equal "status at ${entry_names[$i]}" "$HTTP_STATUS" 200
    check_contains "response at ${entry_names[$i]}" "$HTTP_BODY" "\"request\":\"own-$i\""
    check_contains "response at ${entry_names[$i]}" "$HTTP_BODY" "\"echo\":\"pomade-$i\""
  done
  end_step
}

# check_refused WHAT STATUS REASON: fails the step unless the last response is that refusal.
check_refused() {
  check_equal "status of $1" "$HTTP_STATUS" "$2"
  check_contains "body of $1" "$HTTP_BODY" "\"reason\":\"$3\""
}

step_request_refusals() {
  step "2 refusals carry a status, a reason and whether the request ran"
  local entry=${entry_addresses[1]} path=/v1/services/ordering/requests
  http POST "$entry" $path x
  check_refused 'no key' 401 missing-key
  check_contains 'no key' "$HTTP_BODY" '"ran":"NO"'
  http POST "$entry" $path x 'authorization: Bearer nobody.wrong'
  check_refused 'an unknown key' 401 unknown-key
  http POST "$entry" /v1/services/nothing/requests x "$(auth_header counter)"
  check_refused 'an unknown service' 404 unknown-service
  http POST "$entry" $path x "$(auth_header counter)" 'x-deadline-millis: soon'
  check_refused 'a malformed header' 400 bad-header
  http POST "$entry" /v1/submissions '{"tasks":' "$(auth_header plans)"
  check_refused 'a malformed body' 400 malformed-body
  http POST "$entry" /v1/submissions '<xml/>' "$(auth_header plans)" 'content-type: text/xml'
  check_refused 'a wrong content type' 415 content-type
  http POST "$entry" /v1/notes "$(cat "$work/first.json")" "$(auth_header counter)"
  check_refused "a team's key for a note" 403 not-an-operator
  end_step
}

# submission ID TEAM GANG TASKS EXPECTED_MILLIS IDEMPOTENT: prints a submission as JSON.
submission() {
  printf '{"id":"%s","team":"%s","gang":%s,"tasks":%d,"task":%s,"expectedMillis":%d,"idempotent":%s}}' \
    "$1" "$2" "$3" "$4" "$SMALL_TASK" "$5" "$6"
}

# counts_equal ADDRESS ID KEY COUNTS: succeeds if an entry host reports exactly these counts of runs.
counts_equal() {
  http GET "$1" "/v1/submissions/$2" '' "$(auth_header "$3")"
  [[ $HTTP_BODY == *"\"counts\":{$4}"* ]]
}

# starts_of ID: prints the number of task starts of a submission on all workers.
starts_of() {
  local address count=0
  for address in "${worker_addresses[@]}"; do
    http GET "$address" /admin/history
    count=$((count + $(grep -o "\"task\":\"$1#[^\"]*\",\"event\":\"START\"" <<<"$HTTP_BODY" | wc -l)))
  done
  echo "$count"
}

step_batch() {
  step "3 a batch runs once and its outcome is read at another entry host"
  local batch=(--tasks 5 --cpus 1 --memory 512 --expected 300)
  check_contains 'response to the batch' "$(cactusspring plans submit --id nightly --once "${batch[@]}")" \
    'accepted nightly'
  check_contains 'batch watched' "$(cactusspring plans watch nightly --timeout 20000)" 'SUCCEEDED 5'
  await 20 'batch succeeds' counts_equal "${entry_addresses[5]}" nightly plans '"SUCCEEDED":5'
  check_equal 'starts of the batch' "$(starts_of nightly)" 5
  http POST "${entry_addresses[3]}" /v1/submissions \
    "$(submission nightly plans false 5 300 false)" "$(auth_header plans)"
  check_equal 'the same submission again' "$HTTP_STATUS" 202
  http POST "${entry_addresses[3]}" /v1/submissions \
    "$(submission nightly plans false 6 300 false)" "$(auth_header plans)"
  check_refused 'a different submission with the same id' 409 submission-conflict
  check_equal 'starts of the batch after both resubmissions' "$(starts_of nightly)" 5
  cactusspring plans submit --id waste --tasks 2 --expected 600000 >/dev/null
  check_contains 'cancel' "$(cactusspring plans cancel waste)" waste
  await 20 'cancelled' counts_equal "${entry_addresses[2]}" waste plans '"CANCELLED":2'
  end_step
}

step_gang() {
  step "4 all tasks of a gang run, and a gang that can never fit starts none"
  check_contains 'response to the gang' \
    "$(cactusspring plans gang --id moulds --tasks 4 --cpus 1 --expected 300)" 'accepted moulds'
  await 20 'gang succeeds' counts_equal "${entry_addresses[4]}" moulds plans '"SUCCEEDED":4'
  local oversized
  oversized=$(submission giant plans true 3 300 true)
  oversized=${oversized/'"milliProcessors":1000'/'"milliProcessors":900000'}
  http POST "${entry_addresses[0]}" /v1/submissions "$oversized" "$(auth_header plans)"
  check_refused 'a gang that can never fit' 422 invalid-value
  check_contains 'a gang that can never fit' "$HTTP_BODY" '"ran":"NO"'
  check_equal 'starts of the gang that never fits' "$(starts_of giant)" 0
  end_step
}

# feed_replica_workers: prints the index of the worker of each running replica of service feed.
feed_replica_workers() {
  local i task
  for i in "${!worker_addresses[@]}"; do
    http GET "${worker_addresses[$i]}" /admin/history
    for task in $(grep -o '"task":"service:feed#[^"]*","event":"START"' <<<"$HTTP_BODY" | cut -d'"' -f4); do
      [[ $HTTP_BODY == *"\"task\":\"$task\",\"event\":\"END\""* ]] || echo "$i"
    done
  done
}

replica_count_equals() {
  [ "$(feed_replica_workers | wc -l)" -eq "$1" ]
}

step_replicas() {
  step "5 a service regains its replicas when a worker is lost, and requests still succeed"
  await 20 'three replicas run' replica_count_equals 3
  lost_worker=$(feed_replica_workers | head -n 1)
  kill -KILL "${pid_of[w${lost_worker:-0}]}"
  http POST "$hosts_address" "/admin/hosts/w${lost_worker:-0}" '{"removed":true}'
  http POST "${entry_addresses[2]}" /v1/services/ordering/requests meanwhile "$(auth_header counter)" \
    'content-type: text/plain'
  check_equal 'request while a worker is lost' "$HTTP_STATUS" 200
  await 40 'three replicas run again' replica_count_equals 3
  end_step
}

is_refused_at() {
  http POST "$1" /v1/services/ordering/requests x "$(auth_header late)" 'content-type: text/plain'
  [ "$HTTP_STATUS" = 401 ]
}

step_withdrawn_key() {
  step "6 a withdrawn key is refused at every entry host"
  local i
  http POST "${entry_addresses[4]}" /v1/services/ordering/requests x "$(auth_header late)" \
    'content-type: text/plain'
  check_equal 'status before the withdrawal' "$HTTP_STATUS" 200
  http GET "${entry_addresses[0]}" /v1/configuration '' "$(auth_header ops)"
  HTTP_BODY=$(grep -o '"path":"key/late","revision":[0-9]*' <<<"$HTTP_BODY")
  printf '{"id":"withdraw-late","operator":"ops","changes":[{"change":"withdraw","item":"key/late","basedOn":%d}]}' \
    "$(json_field revision)" >"$work/withdraw.json"
  check_contains 'response to the note' \
    "$(cactusspring ops note apply "$work/withdraw.json")" accepted
  for i in "${!entry_addresses[@]}"; do
    await 10 "key refused at ${entry_names[$i]}" is_refused_at "${entry_addresses[$i]}"
  done
  end_step
}

executions_of() {
  http GET "$1" /admin/stats
  json_field executions
}

step_leaving_endpoint() {
  step "6 a leaving endpoint receives no new work after a few seconds"
  local i before
  http POST "$hosts_address" /admin/hosts/x0 '{"leaving":true}'
  check_equal 'marked as leaving' "$HTTP_STATUS" 200
  sleep 4
  before=$(executions_of "${executor_addresses[0]}")
  for i in {0..29}; do
    http POST "${entry_addresses[$((i % 6))]}" /v1/services/ordering/requests x "$(auth_header counter)" \
      'content-type: text/plain'
    check_equal 'request while the endpoint is leaving' "$HTTP_STATUS" 200
  done
  check_equal 'executions of the leaving endpoint' "$(executions_of "${executor_addresses[0]}")" "$before"
  end_step
}

step_graceful_shutdown() {
  step "6 SIGTERM interrupts no request in flight"
  local i address senders=() stopped_host=${entry_names[5]}
  for address in "${executor_addresses[@]}"; do
    http POST "$address" /admin '{"slowMillis":1500}'
  done
  for i in {0..7}; do
    (
      http POST "${entry_addresses[5]}" /v1/services/ordering/requests "open-$i" "$(auth_header counter)" \
        'content-type: text/plain'
      echo "$HTTP_STATUS $HTTP_BODY" >"$work/open-$i"
    ) &
    senders+=("$!")
  done
  sleep 0.7
  kill -TERM "${pid_of[$stopped_host]}"
  wait "${senders[@]}"
  for i in {0..7}; do
    check_contains "request $i in flight at the shutdown" "$(cat "$work/open-$i")" "\"echo\":\"open-$i\""
  done
  await 20 "$stopped_host ends" has_ended "${pid_of[$stopped_host]}"
  for address in "${executor_addresses[@]}"; do
    http POST "$address" /admin '{"slowMillis":0}'
  done
  restart_started=$(now_millis)
  start_entry_host 5
  await 30 "$stopped_host ready again" is_ready "${entry_addresses[5]}"
  restart_ready=$(now_millis)
  end_step
}

has_ended() {
  ! kill -0 "$1" 2>/dev/null
}

step_open_queue() {
  step "7 an open queue accepts work without a key, within its own limit"
  http POST "${entry_addresses[3]}" /v1/submissions "$(submission visitors walk-in false 6 300 true)"
  check_equal 'status without a key' "$HTTP_STATUS" 202
  await 30 'runs of the open queue succeed' visitors_succeeded
  check_equal 'maximum of concurrent tasks of the open queue' "$(max_concurrent_tasks visitors)" 2
  http POST "${entry_addresses[3]}" /v1/submissions "$(submission stray plans false 1 300 true)"
  check_refused "a team's work without a key" 401 missing-key
  end_step
}

visitors_succeeded() {
  http GET "${entry_addresses[1]}" /v1/submissions/visitors
  [[ $HTTP_BODY == *'"counts":{"SUCCEEDED":6}'* ]]
}

# max_concurrent_tasks ID: prints the maximum number of concurrent tasks of a submission, from the
# histories of all workers.
max_concurrent_tasks() {
  local address
  for address in "${worker_addresses[@]}"; do
    http GET "$address" /admin/history
    grep -o "{\"task\":\"$1#[^}]*}" <<<"$HTTP_BODY"
  done | sed 's/.*"event":"\([A-Z]*\)".*"atNanos":\([0-9]*\).*/\2 \1/' | sort -n \
    | awk '{ n += ($2 == "START") ? 1 : -1; if (n > most) most = n } END { print most + 0 }'
}

# concurrent_runs: prints the runs that had two tasks at once, from the histories of all workers.
concurrent_runs() {
  local address
  for address in "${worker_addresses[@]}"; do
    http GET "$address" /admin/history
    grep -o '{"task":"[^}]*}' <<<"$HTTP_BODY"
  done | sed 's/.*"task":"\([^@]*\)@.*"event":"\([A-Z]*\)".*"atNanos":\([0-9]*\).*/\3 \2 \1/' | sort -n \
    | awk '{ n[$3] += ($2 == "START") ? 1 : -1; if (n[$3] > 1) print $3 }' | sort -u
}

step_violations() {
  step "  no worker was overcommitted and no run had two tasks at once"
  local i
  for i in "${!worker_addresses[@]}"; do
    [ "$i" = "${lost_worker-}" ] && continue
    http GET "${worker_addresses[$i]}" /admin/violations
    check_equal "violations of w$i" "$HTTP_BODY" '{"overcommits":0,"doubleRuns":0}'
  done
  check_equal 'runs with two tasks at once' "$(concurrent_runs)" ''
  end_step
}
