# Sourced by bin/quickstart: counts passed and failed steps and prints each with its duration.

passed=0
failed=0
step_name=
step_started=0
step_failed=0

now_millis() {
  local now=${EPOCHREALTIME/[.,]/}
  echo $((now / 1000))
}

step() {
  step_name=$1
  step_started=$(now_millis)
  step_failed=0
}

end_step() {
  local took=$(($(now_millis) - step_started))
  if [ "$step_failed" -eq 0 ]; then
    passed=$((passed + 1))
    printf 'pass  %6d ms  %s\n' "$took" "$step_name"
  else
    failed=$((failed + 1))
    printf 'FAIL  %6d ms  %s\n' "$took" "$step_name"
  fi
}

# fail_step TEXT: marks the current step as failed and prints the reason.
fail_step() {
  step_failed=1
  printf '      %s: %s\n' "$step_name" "$1"
}

# check_contains WHAT TEXT PART: fails the step unless TEXT contains PART.
check_contains() {
  case $2 in
    *"$3"*) ;;
    *) fail_step "$1: expected $3, found: ${2:0:400}" ;;
  esac
}

# check_equal WHAT FOUND EXPECTED: fails the step unless both are equal.
check_equal() {
  [ "$2" = "$3" ] || fail_step "$1: expected $3, found $2"
}

# await SECONDS WHAT COMMAND...: repeats the command until it succeeds; fails the step on time-out.
await() {
  local seconds=$1 what=$2
  shift 2
  local deadline=$(($(now_millis) + seconds * 1000))
  until "$@"; do
    if [ "$(now_millis)" -gt "$deadline" ]; then
      fail_step "$what: not within $seconds s"
      return 1
    fi
    sleep 0.1
  done
}
