# Functions that scripts share to run a fleet of separate processes on the loopback. Sourced with
# the root of the repository as the present folder.
# Callers set: deployment, profile (release or debug), results (folder).

binaries=target/$profile
platform=$(grep -oE '"platform_address": "[^"]+"' "examples/experiment.$deployment.jsonc" | cut -d'"' -f4)
port_base=${platform##*:}
mapfile -t domains < <(grep -oE '"name": "[^"]+", "region"' "examples/sheet.$deployment.jsonc" | cut -d'"' -f4)
folder=$results
mkdir -p "$folder"

build_binaries() {
  if [ "$profile" = release ]; then cargo build --locked --release --workspace --bins
  else cargo build --locked --workspace --bins; fi
}

# Each process that is started leaves its pid in a file, so that it is ended by pid and no other way.
end_all() {
  local file pid pids=()
  for file in "$folder"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    pids+=("$pid")
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
    rm -f "$file"
  done
  for pid in "${pids[@]}"; do
    for _ in $(seq 300); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
  done
}
trap end_all EXIT

# http METHOD PORT PATH [BODY]: prints the status code.
http() {
  local body=${4-} status
  exec 3<>"/dev/tcp/127.0.0.1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&3
  read -r _ status _ <&3
  exec 3<&-
  echo "$status"
}

# wait_for PORT PATH: waits until the path answers 200.
wait_for() {
  for _ in $(seq 300); do
    [ "$(http GET "$1" "$2" 2>/dev/null)" = 200 ] && return 0
    sleep 0.1
  done
  echo "nothing answers on port $1 at $2; see the logs in $folder" >&2
  return 1
}

# router_domain NUMBER: prints the failure domain of a router.
router_domain() {
  if [ "$1" -le 3 ]; then echo "${domains[0]}"
  elif [ "$1" -le 6 ]; then echo "${domains[1]}"
  else echo "${domains[2]}"; fi
}

write_settings() {
  local number=$1 policy=$2
  cat > "$folder/router-$number.jsonc" <<SETTINGS
{
  "instance": "router-$number",
  "domain": "$(router_domain "$number")",
  "caller_address": "127.0.0.1:$((port_base + 300 + number))",
  "peer_address": "127.0.0.1:$((port_base + 400 + number))",
  "operator_address": "127.0.0.1:$((port_base + 500 + number))",
  "platform_address": "$platform",
  "first_peers": ["127.0.0.1:$((port_base + 401))", "127.0.0.1:$((port_base + 404))", "127.0.0.1:$((port_base + 407))"],
  "shared_key": "a key for demonstrations only",
  "event_file": "$folder/router-$number.events.jsonl",
  "policy": "$policy"
}
SETTINGS
}

start_router() {
  local number=$1
  "$binaries/bergamotpitch-router" --settings "$folder/router-$number.jsonc" 2>> "$folder/router-$number.log" &
  echo $! > "$folder/router-$number.pid"
}

router_pid() { cat "$folder/router-$1.pid"; }

# list_instance LIST NAME PORT DOMAIN LEAVING: changes a line of the platform's instance list.
list_instance() {
  http POST "$port_base" /_instances \
    "{\"list\":\"$1\",\"name\":\"$2\",\"address\":\"127.0.0.1:$3\",\"domain\":\"$4\",\"leaving\":$5,\"gone\":false}" > /dev/null
}

# start_fleet POLICY: stand-ins, 8 routers, the sheet; returns once all routers are ready.
start_fleet() {
  local number
  rm -rf "$folder"
  mkdir -p "$folder"
  "$binaries/bergamotpitch-standin" fleet --file "examples/fleet.$deployment.jsonc" 2> "$folder/standin.log" &
  echo $! > "$folder/standin.pid"
  wait_for "$port_base" /_calls
  for number in 1 2 3 4 5 6 7 8; do
    write_settings "$number" "$1"
    list_instance bergamotpitch-router "router-$number" $((port_base + 400 + number)) "$(router_domain "$number")" false
    start_router "$number"
  done
  "$binaries/bergamotpitch-ctl" --platform "$platform" sheet apply "examples/sheet.$deployment.jsonc" \
    --event-file "$folder/ctl.events.jsonl" > "$folder/apply.txt"
  for number in 1 2 3 4 5 6 7 8; do wait_for $((port_base + 500 + number)) /ready; done
}

# run_load LABEL DURATION_MS WARM_UP_MS: loads the fleet and stores the report.
run_load() {
  sed -E "s/\"duration_ms\": [0-9]+/\"duration_ms\": $2/; s/\"warm_up_ms\": [0-9]+/\"warm_up_ms\": $3/" \
    "examples/experiment.$deployment.jsonc" > "$folder/experiment.jsonc"
  "$binaries/bergamotpitch-load" run "$folder/experiment.jsonc" \
    --sheet "examples/sheet.$deployment.jsonc" --out "$folder" --label "$1" > /dev/null
}

# draw_timeline: merges the event files of all routers.
draw_timeline() {
  "$binaries/bergamotpitch-timeline" --svg "$folder/timeline.svg" "$folder"/*.events.jsonl > "$folder/timeline.txt"
}
