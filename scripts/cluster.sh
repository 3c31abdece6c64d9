# Starts a cluster on loopback for the demo and the end-to-end tests. Sourced by
# bash scripts, which set `variant` before if they want another build.
#
# Each cluster has an address of its own in 127.0.0.0/8, so that clusters do not
# meet and no port has to be free in advance.

bin=$PWD/build/${variant:-release}/daemons
dir=$(mktemp -d)
pids=()
key=demo-key
host=127.$((1 + RANDOM % 250)).$((RANDOM % 250)).$((1 + RANDOM % 250))
entry_port=8000
operator_port=8100
peer_port=8200
engine_port=8300
store_port=8400
plain_address=$host:8500
key_value_address=$host:8600
zones=(Concepción Talcahuano Chiguayante Coronel)
names=(concepcion talcahuano chiguayante coronel)

stop_cluster() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${WIGEONWALK_KEEP:-}" ] && echo "kept $dir" || rm -rf "$dir"
}

join() { local IFS=,; echo "$*"; }

# Writes the documents and the stand-ins' settings.
write_documents() {
  local i j digest zone_list engines=() runners=() stores=() specs=()
  digest=$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)
  zone_list=$(printf '"%s",' "${zones[@]}")
  zone_list=${zone_list%,}
  for i in 0 1 2 3; do
    for j in 0 1; do
      local address=$host:$((engine_port + i * 2 + j)) id=route-${names[i]}-$j
      engines+=("{\"id\":\"$id\",\"address\":\"$address\",\"prefillTokensPerSecond\":20000,\"cacheTokens\":24576,\"tokenIntervalMs\":10}")
      runners+=("{\"id\":\"$id\",\"zone\":\"${zones[i]}\",\"address\":\"$address\"}")
    done
  done
  for i in 0 1; do
    local address=$host:$((store_port + i)) id=store-${names[i]}
    stores+=("{\"id\":\"$id\",\"address\":\"$address\"}")
    specs+=("{\"id\":\"$id\",\"zone\":\"${zones[i]}\",\"address\":\"$address\",\"memoryBytes\":67108864,\"diskBytes\":268435456,\"memoryLinkRate\":100000000,\"diskLinkRate\":10000000}")
  done
  cat >"$dir/engines.json" <<JSON
{"engines":[$(join "${engines[@]}")],"stores":[$(join "${stores[@]}")]}
JSON
  cat >"$dir/platform.json" <<JSON
{"plainServices":[{"address":"$plain_address"}],"keyValue":"$key_value_address"}
JSON
  cat >"$dir/route-assistant.json" <<JSON
{"name":"route-assistant","kind":"engine","weighs":"time-to-first-token","zones":[$zone_list],
 "model":{"name":"standin","version":"1","cacheBytesPerToken":2,"prefillTokensPerSecond":20000},
 "runners":[$(join "${runners[@]}")],"stores":[$(join "${specs[@]}")],
 "organisations":[{"id":"tofu-lenga","keyDigests":["$digest"]}],"tokenTimeout":"1s"}
JSON
  cat >"$dir/orders.json" <<JSON
{"name":"orders","kind":"plain","weighs":"time-to-first-token","zones":[$zone_list],
 "runners":[{"id":"orders-1","zone":"${zones[0]}","address":"$plain_address"}],
 "organisations":[{"id":"tofu-lenga","keyDigests":["$digest"]}],"requestTimeout":"5s",
 "routes":[{"method":"POST","path":"/reservations","idempotent":false,"keySource":"header","keyName":"Idempotency-Key"}]}
JSON
}

# start_daemon NUMBER
start_daemon() {
  local i=$1 j peers=()
  for j in 0 1 2 3; do
    [ "$i" = "$j" ] || peers+=("{\"host\":\"${names[j]}-1\",\"zone\":\"${zones[j]}\",\"address\":\"$host:$((peer_port + j))\"}")
  done
  cat >"$dir/daemon-$i.json" <<JSON
{"host":"${names[i]}-1","zone":"${zones[i]}","entryAddress":"$host:$((entry_port + i))",
 "operatorAddress":"$host:$((operator_port + i))",
 "peerAddress":"$host:$((peer_port + i))","peers":[$(join "${peers[@]}")],
 "clusterKeyFile":"$dir/cluster.key","keyValueAddresses":["$key_value_address"],
 "stop":{"balancerDelay":"500ms","drainTimeout":"20s"}}
JSON
  "$bin/wigeonwalkd" --settings "$dir/daemon-$i.json" 2>>"$dir/daemon-$i.log" &
  pids+=($!)
  daemons[i]=$!
}

ctl() { "$bin/wigeonwalkctl" "$@"; }

# Returns once a command succeeds, or fails after 20 s.
wait_for() {
  local try
  for try in $(seq 100); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

all_in_force() {
  local i
  for i in 0 1 2 3; do
    [ "$(ctl doc status --daemon "$host:$((operator_port + i))" --json | grep -o '"revision": *[1-9]' | wc -l)" -ge 2 ] || return 1
  done
}

# Starts stand-ins and four daemons, and puts the documents in force.
start_cluster() {
  local i
  daemons=()
  entries=()
  head -c 32 /dev/urandom | base64 >"$dir/cluster.key"
  write_documents
  "$bin/wigeonwalk-standins" --config "$dir/engines.json" 2>"$dir/engines.log" &
  pids+=($!)
  "$bin/wigeonwalk-standins" --config "$dir/platform.json" 2>"$dir/platform.log" &
  pids+=($!)
  for i in 0 1 2 3; do
    start_daemon "$i"
    entries+=(--entry "$host:$((entry_port + i))")
  done
  WIGEONWALK_DAEMONS=$(join "$host:$operator_port" "$host:$((operator_port + 1))" "$host:$((operator_port + 2))")
  export WIGEONWALK_DAEMONS
  wait_for ctl status
  ctl doc apply "$dir/route-assistant.json" >/dev/null
  ctl doc apply "$dir/orders.json" >/dev/null
  wait_for all_in_force
}

# load ARGUMENT...: prompts that return, and bookings, over all entries.
load() {
  "$bin/wigeonwalk-load" "${entries[@]}" --key "$key" --service route-assistant \
    --booking-service orders --booking-address "$plain_address" "$@"
}

# fault ADDRESS NAME: tells a stand-in to show a fault.
fault() {
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'POST /standin/fault HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "${#2}" "$2" >&3
  cat <&3 >/dev/null
  exec 3>&-
}

# Number of log lines of a step over all daemons.
steps() { cat "$dir"/daemon-*.log | grep -c "\"step\":\"$1\"" || true; }
