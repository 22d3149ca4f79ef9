#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is derived from: what one more target,
# entry, request, customer or record costs. It runs deployments of several sizes on
# loopback addresses, one after another, and then measures the slopes inside one
# process. Takes about 4 minutes.
#
#   scripts/slopes.sh [DIR]   keep settings, logs and samples in DIR
set -euo pipefail

cd "$(dirname "$0")/.."

# targets, entries, then one or more numbers of requests in flight at all entries
# together. The first is 3 for each session (targets times entries).
readonly deployments=(
  "8 1 24"
  "8 4 96"
  "8 16 384"
  "24 2 144"
  "48 2 288"
  "16 2 96 192 384"
)
readonly stop_limit=10 # seconds for the planned shutdown of one process

dir="${1:-}"
if [[ -z "$dir" ]]; then
  dir="$(mktemp -d "${TMPDIR:-/tmp}/cassiaramp-slopes-XXXXXX")"
fi
readonly dir
mkdir -p "$dir/bin"

pids=()

# Stops the processes as planned, all at once, and kills those that have not ended
# within stop_limit.
stop_deployment() {
  local pid deadline i
  # In reverse order of their start: entries first and the stand-ins last.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  deadline=$((SECONDS + stop_limit))
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null; do
      if ((SECONDS >= deadline)); then
        echo "process $pid did not stop within $stop_limit s after SIGTERM" >&2
        kill -KILL "$pid" || true
        break
      fi
      sleep 0.05
    done
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap stop_deployment EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Runs and measures one deployment. Arguments: the fields of a row of "deployments".
measure_deployment() {
  local targets="$1" entries="$2" run_dir="$dir/$1-$2" args=() n file name
  shift 2
  for n in "$@"; do args+=(--streams "$n"); done
  mkdir -p "$run_dir"
  "$dir/bin/slopes" prepare --dir "$run_dir" --targets "$targets" --entries "$entries"
  "$dir/bin/standin" --settings "$run_dir/standin.json" >"$run_dir/standin.log" 2>&1 &
  pids+=("$!")
  : >"$run_dir/pids"
  for file in "$run_dir"/side-*.json "$run_dir"/entry-*.json; do
    name="$(basename "$file" .json)"
    "$dir/bin/cassiarampd" --settings "$file" >"$run_dir/$name.log" 2>&1 &
    pids+=("$!")
    echo "$name $!" >>"$run_dir/pids"
  done
  "$dir/bin/slopes" measure --dir "$run_dir" --samples "$dir/samples.jsonl" "${args[@]}"
  stop_deployment
}

go build -o "$dir/bin/" ./cmd/...
commit="$(git rev-parse --short HEAD)$(git diff --quiet HEAD || echo ' with changes')" # that the programs were built from
readonly commit
: >"$dir/samples.jsonl"
for row in "${deployments[@]}"; do
  # shellcheck disable=SC2086 # the fields of the row
  measure_deployment $row
done

echo "command: make slopes"
echo "date: $(date -u +%Y-%m-%dT%H:%M:%SZ)"
echo "commit: $commit"
echo "machine: $(nproc) processors, $(uname -sr), $(go version | cut -d' ' -f3), load average $(cut -d' ' -f1-3 /proc/loadavg)"
echo
"$dir/bin/slopes" report --samples "$dir/samples.jsonl"
echo
"$dir/bin/slopes" local
rm -rf "${dir:?}/bin"
echo "settings, logs and samples are in $dir"
