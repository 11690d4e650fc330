# Shared by the scripts: installs what the build needs, and starts and ends processes by id.

need_cmake() {
  if ! command -v cmake >/dev/null 2>&1; then
    echo "installing cmake, which nng builds with"
    apt-get update -qq && apt-get install -y -qq cmake >/dev/null
  fi
}

pids=()

# start LOGFILE COMMAND...: starts a process in the background and remembers its id.
start() {
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  pids+=($!)
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}

# wait_ready URL...: waits until each URL answers with success.
wait_ready() {
  local url tries
  for url in "$@"; do
    tries=0
    until curl -fsS -o /dev/null "$url" 2>/dev/null; do
      tries=$((tries + 1))
      if [ "$tries" -gt 200 ]; then
        echo "$url does not answer" >&2
        return 1
      fi
      sleep 0.05
    done
  done
}
