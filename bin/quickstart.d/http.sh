# Sourced by bin/quickstart: a minimal HTTP client on bash's /dev/tcp, so that no other client is
# needed. Each call sets HTTP_STATUS (000 if there was no response) and HTTP_BODY.

HTTP_STATUS=000
HTTP_BODY=

# http METHOD HOST:PORT PATH [BODY [HEADER...]]: sends a request.
http() {
  local method=$1 address=$2 path=$3 body=${4-}
  shift 3
  [ $# -gt 0 ] && shift
  HTTP_STATUS=000
  HTTP_BODY=
  local answer
  answer=$(http_exchange "$method" "$address" "$path" "$body" "$@" 2>/dev/null) || return 0
  HTTP_STATUS=$(sed -n '1s/^HTTP\/1\.[01] \([0-9]*\).*/\1/p' <<<"$answer")
  HTTP_STATUS=${HTTP_STATUS:-000}
  HTTP_BODY=$(sed '1,/^\r*$/d' <<<"$answer")
}

http_exchange() {
  local method=$1 address=$2 path=$3 body=$4
  shift 4
  local header type=application/json
  exec 3<>"/dev/tcp/${address%:*}/${address##*:}"
  printf '%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n' "$method" "$path" "$address" >&3
  for header in "$@"; do
    case $header in content-type:*) type= ;; esac
    printf '%s\r\n' "$header" >&3
  done
  [ -n "$type" ] && [ "$method" = POST ] && printf 'content-type: %s\r\n' "$type" >&3
  local LC_ALL=C
  printf 'content-length: %d\r\n\r\n%s' "${#body}" "$body" >&3
  timeout 30 cat <&3
  exec 3>&-
}

# json_field NAME: prints the first value of a scalar field in HTTP_BODY.
json_field() {
  grep -o "\"$1\":[^,}]*" <<<"$HTTP_BODY" | head -n 1 | sed 's/^[^:]*://; s/^"//; s/"$//'
}
