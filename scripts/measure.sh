#!/usr/bin/env bash
# Measures the scheduling policies under load and faults. The deployment has three
# entries, six engines that differ fourfold in speed and a plain service, on loopback
# addresses.
#
#   scripts/measure.sh                     all cells
#   scripts/measure.sh cost/200 cost/slow  single cells: POLICY/LOAD or POLICY/FAULT
#
# A cell is one policy at one load or fault. POLICY is round-robin, least-outstanding,
# prefix-affinity or cost, or tema or pelletier for the policies and the split of that
# example. LOAD is in percent of the engines' capacity. FAULT is slow, burst, domain or
# log, at a load of 80 percent. The environment variable SEED (default 1) seeds arrivals
# and contents.
#
# Cells run one after another. Cells of the same load receive the same arrivals and
# lengths, but different texts, so that no cell finds a cache filled by another.
set -euo pipefail

readonly mode=measure
readonly seed="${SEED:-1}"
readonly send_seconds=10
readonly plain_rate=15 # calls/s of the plain service during each cell
readonly prompt_median=100 output_median=4 # tokens
readonly fault_load=80     # % of the capacity
readonly fault_at=4        # seconds after the start of the load
readonly slowdown=5        # factor by which slow_target slows down
readonly burst_factor=3    # by which a burst raises the rate
readonly burst_seconds=2
readonly outage_seconds=4  # for which the log service is down
readonly restart_seconds=2 # until killed side processes are started again
readonly slow_target=plan-01 failed_domain=tkd-a
readonly all_policies=(round-robin least-outstanding prefix-affinity cost)
readonly fault_policies=(round-robin least-outstanding cost)
readonly all_loads=(50 80 100 150 200)
readonly all_faults=(slow burst domain log)
# The timeouts are short compared with the backlog of an overload, so that a cell shows
# its effect; still, 99 in 100 responses fit into the shortest one at the 38 ms between
# tokens that the bundle sets.
readonly tier_timeouts=(berth=5s plan=5500ms check=6s bulk=6500ms)

cells=("$@")
if ((${#cells[@]} == 0)); then
  for load in "${all_loads[@]}"; do
    for policy in "${all_policies[@]}"; do cells+=("$policy/$load"); done
  done
  for fault in "${all_faults[@]}"; do
    for policy in "${fault_policies[@]}"; do cells+=("$policy/$fault"); done
  done
fi
for cell in "${cells[@]}"; do
  if [[ ! "$cell" =~ ^(round-robin|least-outstanding|prefix-affinity|cost|tema|pelletier)/([0-9]+|slow|burst|domain|log)$ ]]; then
    echo "unknown cell $cell; the first lines of $0 explain cells" >&2
    exit 2
  fi
done
readonly cells

# shellcheck source=deploy.sh
source "$(dirname "${BASH_SOURCE[0]}")/deploy.sh"

load_figure_lag=2s
# In seconds. After an overload a side process may hold responses that no caller will
# fetch; it waits 10 s for them before it ends.
stop_limit=15
entries=("entry-1 tema-a" "entry-2 tkd-a" "entry-3 accra-dc")
# Columns as in deploy.sh. The 40 shared prefixes, which differ between chats and
# completions, have about 58,000 tokens together.
engines=(
  "plan-01 tema-a true 56000 600 300 16000"
  "plan-02 tkd-a true 56000 600 300 16000"
  "plan-03 accra-dc true 28000 300 200 12000"
  "plan-04 tema-a true 28000 300 200 12000"
  "plan-05 tkd-a false 14000 150 150 8000"
  "plan-06 accra-dc false 14000 150 150 8000"
)
services=("quay-01 tema-a 2ms" "quay-02 tkd-a 8ms")
customers=(volta-lines gulf-feeder harmattan-bulk aflao-cement keta-stevedores)

# --- Capacity ---

# Prints the capacity, which is the requests/s that the engines can serve if no prompt
# is cached: the smaller of prefill rate over mean prompt and decode rate over mean
# output. Then prints the total prefill rate, the total decode rate, the mean prompt and
# the mean output (in tokens). The lengths of "cassiarampctl load" are log-normal with a
# deviation of 1.4, truncated at 100 medians, with a mean of 2.64 medians; 60 in 100
# requests have a shared prefix of 736 tokens on average.
print_capacity() {
  printf '%s\n' "${engines[@]}" | awk -v prompt="$prompt_median" -v output="$output_median" '
    {prefill += $4; decode += $5}
    END {
      p = prompt * 2.64 + 0.6 * 736; o = output * 2.64
      by_prefill = prefill / p; by_decode = decode / o
      printf "%.1f %d %d %.0f %.0f\n", by_prefill < by_decode ? by_prefill : by_decode, prefill, decode, p, o
    }'
}

# --- Policies ---

# Prints the jq expression that puts a policy into a bundle.
print_policy_edit() {
  case "$1" in
  tema | pelletier)
    bin/cassiarampctl bundle new "$run_dir/$1.json" --anchor --template "examples/$1/bundle.jsonc" >/dev/null
    jq -c '"(.policies = \(.policies)) | (.split = \(.split))"' -r "$run_dir/$1.json"
    rm "$run_dir/$1.json"
    ;;
  *) echo ".split = [{\"policy\": \"$1\", \"share\": 1}]" ;;
  esac
}

version=1
policy_in_effect=""

# Publishes a bundle with a policy and waits until every process has it in effect. The
# customers' rate limits and highest tiers are lifted, so that requests are refused only
# because of load, which is what is measured.
use_policy() {
  local address
  [[ "$1" == "$policy_in_effect" ]] && return
  version=$((version + 1))
  ctl bundle new "$run_dir/plain-$version.json" --anchor --template "$run_dir/template.jsonc" >/dev/null
  jq "(.customers[] |= (.requests_per_second = 5000 | .burst = 5000 | .highest_tier = \"berth\")) | $(print_policy_edit "$1")" \
    "$run_dir/plain-$version.json" >"$run_dir/policy-$version.json"
  ctl_publish "$run_dir/bundle-$version.json" --template "$run_dir/policy-$version.json" \
    --log "http://$log_address" --signers "$run_dir/signers.json" >/dev/null
  for address in "${all_admins[@]}"; do
    until [[ "$(curl -fs "http://$address/debug/vars" | jq .bundle_version)" == "$version" ]]; do
      check_alive
      sleep 0.1
    done
  done
  policy_in_effect="$1"
}

# --- Load ---

# Sends a load and writes its report. Arguments: name of the report, seconds,
# requests/s, further arguments of "load".
send_load() {
  local report="$1" seconds="$2" rate="$3" args=() item status=0
  shift 3
  for item in "${caller_addresses[@]}"; do args+=(--entry "http://$item"); done
  for item in "${customers[@]}"; do args+=(--customer-key "$(customer_key "$item")"); done
  for item in "${tier_timeouts[@]}"; do args+=(--tier "$item"); done
  ctl load "${args[@]}" --duration "${seconds}s" --rate "$rate" --seed "$seed" --content-seed "$content_seed" \
    --prompt-tokens "$prompt_median" --output-tokens "$output_median" --max-open 4000 \
    --ledger "http://$admin_address" --json "$@" >"$run_dir/$report.json" 2>"$run_dir/$report.err" || status=$?
  # Status 7 tells of broken guarantees, which are in the report; after any other error
  # there is no report.
  ((status == 0 || status == 7)) && return
  log_progress "load $report ended with status $status: $(tail -n 2 "$run_dir/$report.err")" >&2
  return 1
}

# --- Faults ---

set_fault() { curl -fs -o /dev/null -X POST "http://$admin_address/admin/faults" -d "$1"; }

# Kills one daemon by SIGKILL and removes it from the lists of processes.
kill_daemon() {
  local i
  for i in "${!process_names[@]}"; do
    [[ "${process_names[i]}" == "$1" ]] || continue
    kill -KILL "${pids[i]}"
    wait "${pids[i]}" 2>/dev/null || true
    unset "pids[i]" "process_names[i]"
  done
  pids=("${pids[@]}")
  process_names=("${process_names[@]}")
}

# Prints the names of the side processes in failed_domain.
print_failed_sides() {
  printf '%s\n' "${engines[@]}" "${services[@]}" | awk -v domain="$failed_domain" '$2 == domain {print "side-" $1}'
}

# Injects a fault while the load runs and sets fault_time to the time at which it began.
inject_fault() {
  local name killed
  sleep "$fault_at"
  fault_time="$(date -u +%s.%N)"
  case "$1" in
  slow) set_fault "{\"name\": \"$slow_target\", \"slow\": $slowdown}" ;;
  burst)
    content_seed=$((content_seed + 1)) # texts that the load has not sent
    send_load burst "$burst_seconds" "$(awk -v r="$rate" -v f="$burst_factor" 'BEGIN {print r * (f - 1)}')" --model "$model"
    ;;
  domain)
    mapfile -t killed < <(print_failed_sides)
    for name in "${killed[@]}"; do kill_daemon "$name"; done
    sleep "$restart_seconds"
    for name in "${killed[@]}"; do start_daemon "$name"; done
    ;;
  log)
    set_fault '{"name": "log", "down": true}'
    sleep "$outage_seconds"
    set_fault '{"name": "log", "down": false}'
    ;;
  esac
}

# Ends a fault that does not end by itself, and waits for processes that it restarted.
end_fault() {
  case "$1" in
  slow) set_fault "{\"name\": \"$slow_target\", \"slow\": 1}" ;;
  domain) wait_ready ;;
  esac
}

# --- Report ---

readonly row_format='%-18s %5s |%6s %6s %6s %6s |%8s %7s %7s %7s %7s %5s %4s\n'

print_head() {
  # shellcheck disable=SC2059
  printf "$row_format" policy cell berth plan check bulk good/s wasted first95 gap95 refused plain viol
}

# Prints one row from the reports of a cell. Arguments: policy, load or fault.
print_row() {
  local fields
  mapfile -t fields < <(jq -rs --slurpfile plain "$run_dir/plain.json" '
    def percent(part; whole): if whole == 0 then "-" else (1000 * part / whole | round / 10 | tostring) end;
    def total(f): [.[] | f] | add // 0;
    def in_tier(t): [.[] | .rows[] | select(.tier == t)];
    def ended: [.in_time, .late, .refused, .unknown, .failed, .broken] | add;
    def goodput(t): in_tier(t) as $r | percent([$r[].in_time] | add // 0; [$r[] | ended] | add // 0);
    goodput("berth"), goodput("plan"), goodput("check"), goodput("bulk"),
    (total(.goodput_per_s) * 10 | round / 10),
    (.[0].waste as $w | percent([$w[].wasted_prefill_tokens] | add // 0; [$w[].prompt_tokens] | add // 0)),
    (.[0].first_token.all.p95_ms // 0 | round), (.[0].gap.all.p95_ms // 0 | round),
    total(.rows[].refused),
    ($plain[0].rows | percent([.[].in_time] | add // 0; [.[] | ended] | add // 0)),
    (total(.violations // [] | length) + ($plain[0].violations // [] | length) + total(.skipped))
  ' "${reports[@]}")
  # shellcheck disable=SC2059
  printf "$row_format" "$1" "$2" "${fields[@]}"
}

# Prints the placements of a cell: the share of each target beside its share of the
# decode rates and, for the fault slow, the placements per second around the fault.
# Arguments: fault, its time. The intermediate file has the time, the target and the
# placement number (1 for a request's first) of each placement.
print_placements() {
  local name
  for name in "${entry_names[@]}"; do
    tail -n "+$((log_lines[$name] + 1))" "$run_dir/log/$name.log"
  done | grep 'msg=placement ' | grep -v 'target=quay' |
    sed -nE 's/^.*ts=([^ ]+) .* target=([^ ]+) .* placement=([0-9]+) .*$/\1 \2 \3/p' >"$run_dir/placements"
  printf '%s\n' "${engines[@]}" | awk -v fault="$1" -v fault_time="$2" -v slow="$slow_target" -v slowdown="$slowdown" '
    function seconds(t,  p) { # of the day, UTC
      split(substr(t, 12), p, ":")
      return p[1] * 3600 + p[2] * 60 + substr(p[3], 1, length(p[3]) - 1)
    }
    FILENAME == "-" {rate[$1] = $5; sum += $5; order[++targets] = $1; next}
    {
      n[$2]++; total++
      if ($3 > 1) again++
      at = seconds($1)
      window = int(at * 2); count[window, $2]++; all[window]++
      if (fault == "slow") {
        step = int((at - fault_time % 86400) * 2 + 1000) - 1000
        every[step]++
        if ($2 == slow) bucket[step]++
      }
    }
    END {
      if (total == 0) exit
      printf "  placements"
      for (i = 1; i <= targets; i++) {
        t = order[i]
        printf " %s %.1f/%.1f", t, 100 * n[t] / total, 100 * rate[t] / sum
      }
      for (w in all) if (all[w] >= 20) for (i = 1; i <= targets; i++) {
        ratio = count[w, order[i]] / all[w] / (rate[order[i]] / sum)
        ratios[++windows] = ratio
        if (ratio > most) most = ratio
      }
      printf " (%% / %% of speed); %.1f%% placed again", 100 * again / total
      printf "; most within 0.5 s %.1f times its share\n", most
      if (fault == "slow") {
        printf "  %s, placements/s of all placements/s, each 0.5 s from 2 s before to 5 s after it slowed:", slow
        for (b = -4; b < 10; b++) printf "%s %d/%d", b == 0 ? " |" : "", 2 * bucket[b], 2 * every[b]
        printf "; fair share %.1f%% before, %.1f%% after\n", 100 * rate[slow] / sum, 100 * (rate[slow] / slowdown) / (sum - rate[slow] + rate[slow] / slowdown)
      }
    }' - "$run_dir/placements"
}

# --- Cells ---

declare -A log_lines # of each entry's log before the cell
entry_names=()
content_seed=0       # of the texts; each load gets its own

# Runs one cell. Arguments: policy, load or fault.
run_cell() {
  local load="$2" fault="" name admins=() address plain_pid load_pid fault_time=0
  [[ "$load" =~ ^[0-9]+$ ]] || { fault="$load" && load="$fault_load"; }
  use_policy "$1"
  content_seed=$((content_seed + 1))
  rate="$(awk -v c="$capacity_rate" -v l="$load" 'BEGIN {printf "%.2f", c * l / 100}')"
  for name in "${entry_names[@]}"; do log_lines[$name]="$(wc -l <"$run_dir/log/$name.log")"; done
  for address in "${entry_admins[@]}"; do admins+=(--admin "http://$address"); done
  reports=("$run_dir/load.json")
  rm -f "$run_dir"/{load,plain,burst}.json
  send_load plain "$send_seconds" "$plain_rate" --service quay-app &
  plain_pid=$!
  send_load load "$send_seconds" "$rate" --model "$model" "${admins[@]}" &
  load_pid=$!
  if [[ -n "$fault" ]]; then
    inject_fault "$fault"
    [[ "$fault" == burst ]] && reports+=("$run_dir/burst.json")
  fi
  wait "$plain_pid" || fail "the load of the plain service failed in cell $1/$2"
  wait "$load_pid" || fail "the load of the engines failed in cell $1/$2"
  [[ -z "$fault" ]] || end_fault "$fault"
  print_row "$1" "$2"
  print_placements "$fault" "$fault_time"
  check_alive
}

deploy
for row in "${entries[@]}"; do entry_names+=("${row%% *}"); done
read -r capacity_rate prefill decode mean_prompt mean_output < <(print_capacity)
log_progress "capacity $capacity_rate requests/s: prefill $prefill and decode $decode tokens/s, mean request $mean_prompt prompt and $mean_output output tokens; seed $seed"
log_progress "goodput by tier in % of its requests (${tier_timeouts[*]}), wasted in % of prompt tokens, first95 and gap95 in ms, plain: goodput of the plain service in %, viol: violations and skipped arrivals"
print_head
for cell in "${cells[@]}"; do run_cell "${cell%/*}" "${cell#*/}"; done
ctl_status >"$run_dir/status.txt" || fail "the status check failed: $(tail -n 3 "$run_dir/status.txt")"
