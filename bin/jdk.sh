# Sourced by the other scripts in bin: sets and exports JAVA_HOME to a JDK of version 21 or newer.

java_major() {
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

usable_jdk() {
  [ -x "$1/bin/javac" ] && [ "$(java_major "$1")" -ge 21 ] 2>/dev/null
}

find_jdk() {
  local candidate
  local on_path
  on_path=$(command -v javac || true)
  [ -n "$on_path" ] && on_path=$(dirname "$(dirname "$(readlink -f "$on_path")")")
  for candidate in "${JAVA_HOME:-}" "$on_path" /usr/lib/jvm/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
    if [ -n "$candidate" ] && usable_jdk "$candidate"; then
      echo "$candidate"
      return 0
    fi
  done
  return 1
}

if ! JAVA_HOME=$(find_jdk); then
  echo "cactusspring: no JDK of version 21 or newer found; install one or set JAVA_HOME to it" >&2
  exit 1
fi
export JAVA_HOME
