#!/usr/bin/env bash
# Runs a small deployment on this machine, on loopback addresses: two entries, six
# side processes, and one process with the stand-ins, which emulate the platform
# (log service, instance list, weight store) and the targets.
#
#   scripts/deploy.sh demo    send a mixed load, check every response, stop
#   scripts/deploy.sh trial   serve callers on 127.0.0.1:8080 until Ctrl-C
#
# The exit status is not 0 if a response was lost, doubled or cut off, or if a
# process failed or did not stop as planned.
#
# Other scripts can set "mode" to a value of their own and source this file for its
# functions; with other modes than those above it starts nothing. They may then
# change the deployment (entries, engines, services, load_figure_lag).
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [[ "${BASH_SOURCE[0]}" == "$0" ]]; then
  mode="${1:-demo}"
  case "$mode" in
  demo | trial) ;;
  *)
    echo "usage: $0 demo|trial" >&2
    exit 2
    ;;
  esac
fi

# Time limits in seconds.
readonly ready_limit=15 # until all processes are ready
stop_limit=10           # for the planned shutdown of one process

# The load that ctl_load sends; these values are for the demo.
load_duration=15s
load_timeout=10s # deadline of each request, low enough for the demo to end within 45 s
load_rate=40     # requests/s
load_seed=1

# Each run has a loopback address of its own, so that no other process takes a port between its
# choice and its use. Callers of a trial use the documented one.
if [[ "$mode" == trial ]]; then
  readonly host=127.0.0.1
else
  readonly host="127.$((128 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))"
fi
readonly trial_port=8080 # of the first entry in a trial
readonly bundle_template=examples/tema/bundle.jsonc
readonly operators=(ama kofi)                                 # whose signatures the bundle needs; as in the template
customers=(volta-lines gulf-feeder harmattan-bulk)            # may use all tiers
readonly tiers=(berth plan check bulk)
readonly model=stowage-large
readonly retention=30m # of the log: twice the time for which a claim holds its key (10 min), and a margin

load_figure_lag=500ms # age of the load figures that engines report

# name, failure domain
entries=(
  "entry-1 tema-a"
  "entry-2 tkd-a"
)
# target, failure domain, whether it checks fencing tokens, prefill rate and decode
# rate of the engine, decode rate of one request (all tokens/s), cache (tokens)
engines=(
  "plan-01 tema-a true 40000 4000 400 20000"
  "plan-02 tkd-a true 24000 2500 300 16000"
  "plan-03 accra-dc true 12000 1500 250 12000"
  "plan-04 tema-b false 6000 800 200 8000"
)
# target, failure domain, latency of a call
services=(
  "quay-01 tema-a 2ms"
  "quay-02 tkd-a 8ms"
)

run_dir="$(mktemp -d "${TMPDIR:-/tmp}/cassiaramp-$mode-XXXXXX")"
readonly run_dir
mkdir "$run_dir/keys" "$run_dir/tls" "$run_dir/log"

pids=()          # process ids of the processes started, in the order in which to stop them
process_names=() # their names, in the same order
failed=0

# Prints a message with the seconds since the start of the script.
log_progress() { printf '[%3ds] %s\n' "$SECONDS" "$*"; }

# Prints an error and makes the exit status 1; the script goes on.
fail() {
  log_progress "FAILED: $*" >&2
  failed=1
}

# --- Calls of cassiarampctl ---

ctl() { bin/cassiarampctl "$@"; }

# Writes keys/OPERATOR.key and keys/OPERATOR.pub (base64).
ctl_operator_key() { ctl keys new "$1" --dir "$run_dir/keys"; }

# Writes tls/authority.pem, and tls/INSTANCE.pem and tls/INSTANCE.key for each.
ctl_certificates() { ctl keys tls "$@" --dir "$run_dir/tls"; }

# Writes, signs and publishes a new bundle. Arguments: file, further arguments of
# "bundle new".
ctl_publish() {
  local bundle="$1"
  shift
  ctl bundle new "$bundle" --note "$mode" "$@"
  ctl_sign "$bundle"
  ctl_publish_signed "$bundle"
}

# Checks a bundle file and writes the signature of each operator beside it.
ctl_sign() {
  local operator
  ctl bundle check "$1"
  for operator in "${operators[@]}"; do
    ctl bundle sign "$1" --operator "$operator" --key "$run_dir/keys/$operator.key" --out "$1.$operator.sig"
  done
}

# Publishes a bundle file with the signatures that ctl_sign has written.
ctl_publish_signed() {
  local signatures=() operator
  for operator in "${operators[@]}"; do signatures+=(--signature "$1.$operator.sig"); done
  ctl bundle publish "$1" "${signatures[@]}" --log "http://$log_address" --signers "$run_dir/signers.json"
}

# Sends the load to all entries. Its arguments are passed on to "load".
ctl_load() {
  local args=() address name
  for address in "${caller_addresses[@]}"; do args+=(--entry "http://$address"); done
  for address in "${entry_admins[@]}"; do args+=(--admin "http://$address"); done
  for name in "${customers[@]}"; do args+=(--customer-key "$(customer_key "$name")"); done
  for name in "${tiers[@]}"; do args+=(--tier "$name"); done
  ctl load "${args[@]}" --model "$model" --service quay-app --duration "$load_duration" --rate "$load_rate" \
    --seed "$load_seed" --timeout "$load_timeout" --prompt-tokens 100 --output-tokens 24 --ledger "http://$admin_address" "$@"
}

# Fails if the status of a process cannot be read, bundle versions differ or an
# invariant was violated.
ctl_status() {
  local args=() address
  for address in "${all_admins[@]}"; do args+=(--admin "http://$address"); done
  ctl status "${args[@]}"
}

# --- Addresses ---

# Ports are taken from 20000 to 31000, below the range that the system uses for
# outgoing connections.
next_port=0
choose_first_port() { next_port=$((20000 + RANDOM % 110 * 100)); }

# Succeeds if something accepts connections on a port.
port_in_use() { (exec 3<>"/dev/tcp/$host/$1") 2>/dev/null; }

# Sets "address" to the next address on which nothing accepts connections.
next_address() {
  while port_in_use "$next_port"; do next_port=$((next_port + 1)); done
  address="$host:$next_port"
  next_port=$((next_port + 1))
}

# --- Settings ---

# Prints the key of a customer of the template, as documented at the template's
# beginning.
customer_key() { echo "example-key-$1"; }

# Prints the operators' public keys as the members of a JSON object.
signer_keys_json() {
  local operator separator=""
  for operator in "${operators[@]}"; do
    printf '%s"%s": "%s"' "$separator" "$operator" "$(<"$run_dir/keys/$operator.pub")"
    separator=", "
  done
}

# Writes the template with the operators' public keys, and the file of the signers.
write_bundle_template() {
  local operator edits=()
  for operator in "${operators[@]}"; do
    edits+=(-e "s|^( *\"$operator\": )\"[^\"]*\"|\\1\"$(<"$run_dir/keys/$operator.pub")\"|")
  done
  sed -E "${edits[@]}" "$bundle_template" >"$run_dir/template.jsonc"
  printf '{"required": %d, "keys": {%s}}\n' "${#operators[@]}" "$(signer_keys_json)" >"$run_dir/signers.json"
}

# Writes the settings of one daemon. Arguments: instance name, role, failure domain,
# and the JSON members of its role.
write_settings() {
  cat >"$run_dir/$1.jsonc" <<END
{
  "instance": "$1",
  "role": "$2",
  "failure_domain": "$3",
  "region": "gh-south",
$4
  "tls": {"certificate": "tls/$1.pem", "key": "tls/$1.key", "authority": "tls/authority.pem"},
  "platform": {
    "log": "http://$log_address",
    "instances": "http://$instances_address",
    "retention": "$retention",
  },
  "bootstrap_signers": $(<"$run_dir/signers.json"),
}
END
}

caller_addresses=()    # of the entries
entry_admins=()        # admin addresses of the entries
all_admins=()          # admin addresses of all daemons
declare -A admin_of=() # admin address by instance name
side_names=()          # instance names of the side processes
instance_names=()      # instance names of all daemons
members_json=""        # members of the instance list, one a line
engines_json=""        # engines of the stand-ins
services_json=""       # plain services of the stand-ins

# Adds an entry. Arguments: name, failure domain, address for callers.
add_entry() {
  next_address
  write_settings "$1" entry "$2" "  \"listen\": {\"callers\": \"$3\", \"admin\": \"$address\"},"
  caller_addresses+=("$3")
  entry_admins+=("$address")
  all_admins+=("$address")
  admin_of[$1]="$address"
  members_json+="      {\"instance\": \"$1\", \"role\": \"entry\", \"failure_domain\": \"$2\"},"$'\n'
}

# Adds a side process and sets "target_address". Arguments: target, failure domain,
# service, kind of service, whether the target checks fencing tokens.
add_side() {
  local sessions admin fence=""
  next_address && sessions="$address"
  next_address && admin="$address"
  next_address && target_address="$address"
  [[ "$5" == true ]] && fence=', "checks_fence": true'
  write_settings "side-$1" side "$2" "  \"listen\": {\"sessions\": \"$sessions\", \"admin\": \"$admin\"},
  \"target\": {\"id\": \"$1\", \"service\": \"$3\", \"kind\": \"$4\", \"address\": \"$target_address\"$fence},"
  side_names+=("side-$1")
  all_admins+=("$admin")
  admin_of[side-$1]="$admin"
  members_json+="      {\"instance\": \"side-$1\", \"role\": \"side\", \"failure_domain\": \"$2\", \"address\": \"$sessions\", \"target\": \"$1\", \"service\": \"$3\"},"$'\n'
}

# Adds an engine and its side process. Arguments: the fields of a row of "engines".
add_engine() {
  add_side "$1" "$2" plan-llm engine "$3"
  engines_json+="    {\"name\": \"$1\", \"address\": \"$target_address\", \"checks_fence\": $3,
      \"prefill_rate\": $4, \"decode_rate\": $5, \"request_rate\": $6, \"cache_tokens\": $7,
      \"load_lag\": \"$load_figure_lag\", \"cache_lag\": \"1s\", \"cache_gap\": 0.02,
      \"models\": [{\"name\": \"stowage-large\", \"version\": \"1\"}, {\"name\": \"notes-small\", \"version\": \"1\"}]},"$'\n'
}

# Adds a target of the plain service and its side process. Arguments: the fields of a
# row of "services".
add_service() {
  add_side "$1" "$2" quay-app plain false
  services_json+="    {\"name\": \"$1\", \"service\": \"quay-app\", \"address\": \"$target_address\", \"latency\": \"$3\"},"$'\n'
}

# Writes the settings of the stand-ins.
write_standin() {
  cat >"$run_dir/standin.jsonc" <<END
{
  "seed": 1,
  "admin": "$admin_address",
  "log": {"address": "$log_address", "retention": "$retention", "appends_per_second": 300, "latency": "1ms"},
  "instances": {
    "address": "$instances_address",
    "lag": "1s",
    "members": [
$members_json    ],
  },
  "weights": {"address": "$weights_address", "delay": "300ms", "fetches_per_minute": 60, "burst": 4},
  "engines": [
$engines_json  ],
  "services": [
$services_json  ],
}
END
}

# Assigns all addresses and writes all settings.
write_all_settings() {
  local row fields callers
  choose_first_port
  next_address && admin_address="$address"
  next_address && log_address="$address"
  next_address && instances_address="$address"
  next_address && weights_address="$address"
  for row in "${entries[@]}"; do
    read -ra fields <<<"$row"
    next_address && callers="$address"
    [[ "$mode" == trial && "${#caller_addresses[@]}" == 0 ]] && callers="$host:$trial_port"
    add_entry "${fields[@]}" "$callers"
  done
  for row in "${engines[@]}"; do
    read -ra fields <<<"$row"
    add_engine "${fields[@]}"
  done
  for row in "${services[@]}"; do
    read -ra fields <<<"$row"
    add_service "${fields[@]}"
  done
  write_standin
}

# --- Processes ---

# Starts a process, which will be stopped before those started earlier. Arguments:
# name, command.
start_process() {
  local name="$1"
  shift
  "$@" >>"$run_dir/log/$name.log" 2>&1 &
  pids=("$!" "${pids[@]}")
  process_names=("$name" "${process_names[@]}")
}

# Succeeds if a process started by this script is running. It looks at the shell's
# list of jobs, because the system may reuse the id of a process that has ended.
is_running() { [[ " $(jobs -pr | tr '\n' ' ')" == *" $1 "* ]]; }

# Fails if one of the processes has ended.
check_alive() {
  local i
  for i in "${!pids[@]}"; do
    if ! is_running "${pids[i]}"; then
      fail "${process_names[i]} ended early; the end of its log:"
      tail -n 5 "$run_dir/log/${process_names[i]}.log" >&2
      return 1
    fi
  done
}

# Waits until all daemons are ready; fails after ready_limit or if a process ends.
wait_ready() {
  local address deadline=$((SECONDS + ready_limit))
  for address in "${all_admins[@]}"; do
    until curl -fs --max-time 1 -o /dev/null "http://$address/readyz"; do
      check_alive || return 1
      if ((SECONDS >= deadline)); then
        fail "http://$address/readyz: $(curl -s --max-time 1 "http://$address/readyz" || echo "no response")"
        return 1
      fi
      sleep 0.1
    done
  done
}

declare -A sigterm_sent # by process id; set when SIGTERM was sent

# Sends SIGTERM to a process, once: a second one would end a process that is
# completing its planned stop, with a status other than 0.
send_sigterm() {
  [[ -z "${sigterm_sent[$1]:-}" ]] || return 0
  sigterm_sent[$1]=1
  # The process may end between the check and the kill, for example if a Ctrl-C has
  # reached it as well.
  if is_running "$1"; then kill -TERM "$1" 2>/dev/null || true; fi
}

# Stops one process as planned and checks its exit status. Arguments: process id,
# name.
stop_process() {
  local pid="$1" name="$2" deadline=$((SECONDS + stop_limit)) status=0
  send_sigterm "$pid"
  while is_running "$pid"; do
    if ((SECONDS >= deadline)); then
      fail "$name did not stop within $stop_limit s after SIGTERM"
      kill -KILL "$pid" 2>/dev/null || true
      break
    fi
    sleep 0.05
  done
  wait "$pid" || status=$?
  ((status == 0)) || fail "$name ended with status $status"
}

# Stops all processes as planned, one after another, but side processes together.
stop_deployment() {
  local i j
  for i in "${!pids[@]}"; do
    # Each side process may wait for its callers, so all are told to stop first.
    if [[ "${process_names[i]}" == side-* ]]; then
      for j in "${!pids[@]}"; do [[ "${process_names[j]}" != side-* ]] || send_sigterm "${pids[j]}"; done
    fi
    stop_process "${pids[i]}" "${process_names[i]}"
  done
  pids=()
  process_names=()
}

# Stops all processes and ends the script. The argument is the status with which the
# script was about to end; by default that of the last command.
finish() {
  local status="${1:-$?}"
  trap - EXIT INT TERM
  stop_deployment
  if ((status != 0 || failed != 0)); then
    log_progress "settings and logs are kept in $run_dir"
    exit 1
  fi
  rm -rf "$run_dir"
  log_progress "all processes stopped"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# --- Steps ---

# Builds the programs and writes all keys, certificates and settings.
build_and_write_settings() {
  local operator row
  log_progress "building"
  mkdir -p bin
  go build -o bin/ ./cmd/...
  log_progress "writing keys and settings to $run_dir"
  for operator in "${operators[@]}"; do ctl_operator_key "$operator" >/dev/null; done
  write_bundle_template
  write_all_settings
  instance_names=("${side_names[@]}")
  for row in "${entries[@]}"; do instance_names+=("${row%% *}"); done
  ctl_certificates "${instance_names[@]}" >/dev/null
}

# Starts the daemon of one instance.
start_daemon() { start_process "$1" bin/cassiarampd --settings "$run_dir/$1.jsonc"; }

# Starts all processes, publishes the first bundle and waits until all are ready.
start_deployment() {
  local name
  log_progress "starting the stand-ins, ${#side_names[@]} side processes and ${#entries[@]} entries"
  start_process standin bin/standin --settings "$run_dir/standin.jsonc"
  until curl -fs --max-time 1 -o /dev/null "http://$admin_address/admin/ledger"; do
    check_alive
    sleep 0.05
  done
  for name in "${instance_names[@]}"; do start_daemon "$name"; done
  log_progress "publishing the bundle"
  ctl_publish "$run_dir/bundle.json" --anchor --template "$run_dir/template.jsonc"
  log_progress "waiting until all processes are ready"
  wait_ready
}

# Builds the programs, starts all processes and waits until they are ready.
deploy() {
  build_and_write_settings
  start_deployment
}

# Prints an example request and runs until Ctrl-C or until a process ends.
serve_trial() {
  log_progress "ready; settings and logs are in $run_dir; stop with Ctrl-C"
  cat <<END

curl -N http://${caller_addresses[0]}/v1/chat/completions \\
  -H 'Authorization: Bearer $(customer_key "${customers[0]}")' -H 'Content-Type: application/json' \\
  -d '{"model": "$model", "max_tokens": 20, "stream": true, "messages": [{"role": "user", "content": "Stow hatch 3."}]}'

END
  trap 'exit 0' INT TERM
  while check_alive; do sleep 1; done
  exit 1
}

case "$mode" in
trial)
  if port_in_use "$trial_port"; then
    trap - EXIT
    rm -rf "$run_dir"
    log_progress "$host:$trial_port is in use by another process" >&2
    exit 1
  fi
  deploy
  serve_trial
  ;;
demo)
  deploy
  log_progress "sending a mixed load for $load_duration"
  ctl_load || fail "the load did not complete without errors; see its report above"
  check_alive || true
  ctl_status || fail "the status check failed; see above"
  log_progress "stopping"
  ;;
esac
