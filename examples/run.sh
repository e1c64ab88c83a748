#!/usr/bin/env bash
# Starts a whole site on loopback addresses, each process by itself: stand-ins of the platform and of all endpoints, an
# agent beside each endpoint, the entries; then puts the site's declarations in force. A process that ends is started
# again, as a process manager does. Ctrl-C stops them all.
#
#   examples/run.sh amman|ulaanbaatar
#
# BALSAMSAIL_BINARY names a binary that is there already; without it one is built. Every host has an address of its own
# in 127.0.0.0/8, so that this runs on Linux as it is.
set -euo pipefail
# Each process gets a process group of its own, so that Ctrl-C reaches this script only and the order of the stop is kept.
set -m
cd "$(dirname "$0")/.."

. examples/site.sh

work=$(mktemp -d)
binary=${BALSAMSAIL_BINARY:-$work/balsamsail}
if [ -z "${BALSAMSAIL_BINARY:-}" ]; then
  go build -o "$binary" ./cmd/balsamsail
fi

# The supervisors' process ids by the names of what they run.
declare -A supervisor_of
standins=() agents=() entries=()

# supervise NAME ARGUMENT... runs a process until this shell gets a TERM. The log is NAME.log, the process id NAME.pid.
supervise() {
  local name=$1 child='' stopping=''
  shift
  trap 'stopping=yes; [ -z "$child" ] || kill -TERM "$child" 2>/dev/null || true' TERM
  trap - EXIT INT
  while [ -z "$stopping" ]; do
    "$binary" "$@" >>"$work/$name.log" 2>&1 &
    child=$!
    echo "$child" >"$work/$name.pid"
    # A TERM that came while the process was being started.
    [ -z "$stopping" ] || kill -TERM "$child" 2>/dev/null || true
    # A signal ends wait before the process does.
    while kill -0 "$child" 2>/dev/null; do wait "$child" || status=$?; done
    child=''
    sleep 0.2
  done
}

# start NAME ARGUMENT... starts a process under a supervisor.
start() {
  supervise "$@" &
  supervisor_of[$1]=$!
}

# stop NAME... stops processes and waits until they have ended.
stop() {
  local name
  for name in "$@"; do kill -TERM "${supervisor_of[$name]}" 2>/dev/null || true; done
  for name in "$@"; do wait "${supervisor_of[$name]}" 2>/dev/null || true; done
}

# stop_all stops entries first and stand-ins last, so that the requests in flight can end.
stop_all() {
  trap '' INT TERM
  trap - EXIT
  echo "stopping"
  stop "${entries[@]}"
  stop "${agents[@]}"
  stop "${standins[@]}"
  echo "stopped; the logs are in $work"
}
trap 'stop_all; exit 1' EXIT
trap 'stop_all; exit 0' INT TERM

# await_ready NAME URL waits for a process to be ready.
await_ready() {
  local name=$1 url=$2 tries=0
  until curl -fs -m 1 -o "$work/answer" "$url"; do
    tries=$((tries + 1))
    if [ $tries -gt 600 ]; then
      echo "$name is not ready; its log:"
      tail -n 20 "$work/$name.log"
      exit 1
    fi
    sleep 0.1
  done
}

# start_endpoint ID DOMAIN IP ENDPOINT starts an endpoint's stand-in and the agent beside it.
start_endpoint() {
  local id=$1 domain=$2 ip=$3 endpoint=$4 kind=service
  case $endpoint in engine-*) kind=engine ;; esac
  start "$endpoint" standin $kind -config "$settings/$kind.ini" \
    -set standin.name="$endpoint" -set standin.listen="$ip:8000"
  start "agent-$endpoint" agent -config "$settings/agent-$kind.ini" \
    -set agent.host="$id" -set agent.failure_domain="$domain" \
    -set agent.listen="$ip:9100" -set agent.metrics_listen="$ip:9101" \
    -set endpoint.name="$endpoint" -set endpoint.url="http://$ip:8000"
  standins+=("$endpoint")
  agents+=("agent-$endpoint")
  urls+=("agent-$endpoint http://$ip:9101/readyz")
}

# start_entry ID DOMAIN IP starts an entry.
start_entry() {
  local id=$1 domain=$2 ip=$3
  start "$id" entry -config "$settings/entry.ini" -set entry.id="$id" -set entry.failure_domain="$domain" \
    -set entry.listen="$ip:8080" -set entry.operator_listen="$ip:8081"
  entries+=("$id")
  urls+=("$id http://$ip:8081/readyz")
  callers+=("http://$ip:8080")
  operators+=("http://$ip:8081")
}

urls=() callers=() operators=()
echo "starting $site; logs and process ids are in $work"
start platform standin platform -config "$settings/platform.ini"
standins+=(platform)
while read -r id role domain address endpoint; do
  ip=${address%:*}
  case $role in
    endpoint) start_endpoint "$id" "$domain" "$ip" "$endpoint" ;;
    entry) start_entry "$id" "$domain" "$ip" ;;
  esac
done < <(hosts)
for line in "${urls[@]}"; do
  read -r name url <<<"$line"
  await_ready "$name" "$url"
done
echo "${#agents[@]} agents and ${#entries[@]} entries are ready"

BALSAMSAIL_ENTRIES=$(IFS=,; echo "${operators[*]}")
export BALSAMSAIL_ENTRIES
"$binary" apply -f "$settings/declarations.ini" -wait | tail -n 1

cat <<TEXT

$site is ready. Callers are served by ${callers[*]}.
In another shell:

  alias balsamsail=$binary
  export BALSAMSAIL_ENTRIES=$BALSAMSAIL_ENTRIES
  curl -N ${callers[0]}/v1/chat/completions \\
    -d '{"model":"$model","stream":true,"messages":[{"role":"user","content":"hello"}]}'
  curl ${callers[0]}/$call -H 'Idempotency-Key: first' -d '{"number":1}'
  balsamsail status
  balsamsail timeline -model $model@v1

Stop one process, which is then started again: kill -TERM \$(cat $work/entry-1.pid)
Restart all of them in turn under load: examples/rolling-restart.sh $site $work
Ctrl-C here stops everything.
TEXT
wait
