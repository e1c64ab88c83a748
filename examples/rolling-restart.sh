#!/usr/bin/env bash
# Restarts every process of a site that run.sh has started, as docs/OPERATIONS.md says, while callers of all entries go on,
# and prints what became of their requests.
#
#   examples/rolling-restart.sh amman|ulaanbaatar WORK [RATE]
#
# WORK is the folder that run.sh has named; RATE is the number of requests a second at each entry (default 8).
set -euo pipefail
cd "$(dirname "$0")/.."
. examples/site.sh

work=${2:?WORK is missing: the folder that run.sh has named}
rate=${3:-8}
binary=${BALSAMSAIL_BINARY:-$work/balsamsail}
load=$(mktemp -d)
trap 'touch "$load/stop"' EXIT

# What callers ask for: streams, whole answers, adapters, a batch, and calls of the plain service, some of which may run
# only once.
case $site in
  amman)
    targets=(
      narrate-compaction-ar,stream=true,weight=3,tokens=64 narrate-asphalt-ar,weight=2 photo-kerb,stream=true,weight=2
      narrate-asphalt-zarqa,weight=2 narrate-kerb-en,stream=true,tokens=200 photo-shoring speech-ar
      audit-karak,class=batch,deadline=10m /ledger/notices,body=64,weight=4 /ledger/board,method=GET,weight=2
    )
    ;;
  ulaanbaatar)
    targets=(
      holdover-type-i-snow,stream=true,weight=3,tokens=64 holdover-type-iv-frost,weight=2 advise-ramp-b737,stream=true,weight=2
      advise-pad-a321-charter,weight=2 advise-dispatch-e190,stream=true,tokens=200 holdover-type-ii-snow-pellets metar-reader
      fluid-log-b737-oct,class=batch,deadline=10m /pads/slots,body=64,weight=4 /pads/board,method=GET,weight=2
    )
    ;;
esac

entries=() # id and operators' address
domains=()
while read -r id role domain address _; do
  case $role in
    entry) entries+=("$id $address") ;;
    endpoint) [[ " ${domains[*]} " == *" $domain "* ]] || domains+=("$domain") ;;
  esac
done < <(hosts)
BALSAMSAIL_ENTRIES=$(for e in "${entries[@]}"; do printf 'http://%s,' "${e#* }"; done)
export BALSAMSAIL_ENTRIES=${BALSAMSAIL_ENTRIES%,}

# call ID ADDRESS sends load to an entry in runs of two seconds. As a balancer does, it begins none while the entry says
# that it is not ready; what was begun goes on.
call() {
  local id=$1 address=$2 run=0
  while [ ! -e "$load/stop" ]; do
    if curl -fs -m 1 -o /dev/null "http://$address/readyz"; then
      run=$((run + 1))
      "$binary" load -url "http://${address%:*}:8080" -rate "$rate" -duration 2s -seed "$run$RANDOM" \
        "${targets[@]/#/-target=}" >"$load/$id-$run" 2>&1 &
    fi
    sleep 2
  done
  wait
}

# restart NAME ADDRESS asks a process to stop, waits for its end, and then until the new one is ready.
restart() {
  local name=$1 address=$2 pid
  pid=$(cat "$work/$name.pid")
  kill -TERM "$pid"
  while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  until curl -fs -m 1 -o /dev/null "http://$address/readyz"; do sleep 0.1; done
  echo "$(date +%T) $name restarted"
}

# await_calm waits until the newest revision is in force everywhere, all endpoints are ready and no slot is on its way.
await_calm() {
  until "$binary" inforce >/dev/null && [ "$(restless)" = 0 ]; do sleep 0.5; done
  echo "$(date +%T) calm"
}

# restless counts the endpoints that are not ready and the slots that are on their way.
restless() {
  "$binary" status -o json | grep -cE '"state": "(releasing|unknown)"|"(ready|reachable)": false' || true
}

# order_life is how long an agent that has started waits before it gives orders, in seconds; 0 where engines check fencing
# numbers.
order_life() {
  if grep -q '^checks_fencing = true' "$settings/agent-engine.ini"; then echo 0; else sed -n 's/^max_life = //p' "$settings/agent-engine.ini"; fi
}

for e in "${entries[@]}"; do call $e & done
sleep 10

for e in "${entries[@]}"; do
  restart $e
  await_calm
done
for domain in "${domains[@]}"; do
  echo "$(date +%T) failure domain $domain"
  while read -r _ role at address endpoint; do
    if [ "$role" = endpoint ] && [ "$at" = "$domain" ]; then restart "agent-$endpoint" "${address%:*}:9101"; fi
  done < <(hosts)
  sleep "$(order_life)"
  await_calm
done

sleep 5
touch "$load/stop"
wait
echo "what became of the callers' requests ($(ls "$load" | grep -c entry) runs, in $load):"
cat "$load"/entry-* | awk '
  $1 == "sent" && !whole { sent += $2; served += $4; refused += $6; late += $8 }
  $1 == "truncated" && !whole { cut += $2; wrong += $5; noanswer += $8; timedout += $11 }
  $1 == "not" && !whole { unsent += $3; unreachable += $6 }
  /^target / { whole = 1 }
  /^load of / { whole = 0 }
  $1 == "refused" && $3 == "status" && !whole { print "refused:", $0 }
  END {
    printf "sent %d, served %d, refused %d, late %d, truncated %d, wrong content %d, no answer %d, timed out %d, no connection %d, not sent %d\n",
      sent, served, refused, late, cut, wrong, noanswer, timedout, unreachable, unsent
  }'
twice=0
while read -r _ role _ address endpoint; do
  case $endpoint in engine-* | '') continue ;; esac
  n=$(curl -fs "http://${address%:*}:8000/truth" | grep -oE '"key":"[^"]*","executions":[0-9]+' | grep -cvE ':1$' || true)
  twice=$((twice + n))
done < <(hosts)
echo "calls of the plain service that ran more than once: $twice"
