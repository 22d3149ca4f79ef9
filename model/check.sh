#!/usr/bin/env bash
# Checks each specification with spin, which must prove its properties, then each
# variant, which lacks one guard and must yield a counterexample. Prints one line per
# check and the number of checks that passed and failed. The heads of the
# specifications describe the variants.
set -uo pipefail
cd "$(dirname "$0")"
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
passed=0
failed=0

# Checks a specification or one of its variants.
# Arguments: SPEC EXPECTED [VARIANT]; EXPECTED is proved or counterexample.
check() {
  local spec=$1 expected=$2 variant=${3:-}
  local dir="$work_dir/$spec-${variant:-full}"
  mkdir -p "$dir"
  cp "$spec.pml" "$dir/"
  local log="$dir/log"
  if ! (cd "$dir" && spin -a ${variant:+-D$variant} "$spec.pml" && gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c && ./pan -E -m500000) >"$log" 2>&1; then
    cat "$log"
    failed=$((failed + 1))
    return
  fi
  local errors states outcome=proved
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$log" | tail -1)
  states=$(awk '/states, stored/ {print $1; exit}' "$log")
  # Only a violated assertion is a counterexample; any other error of the run is not.
  if [ "${errors:-x}" != 0 ]; then
    outcome=error
    grep -q "assertion violated" "$log" && outcome=counterexample
  fi
  if grep -Eq "max search depth too small|out of memory|search not completed" "$log" && [ "$outcome" = proved ]; then
    outcome=incomplete
  fi
  local verdict=ok
  if [ "$outcome" = "$expected" ]; then passed=$((passed + 1)); else verdict=FAILED; failed=$((failed + 1)); cat "$log"; fi
  printf '%-8s %-24s %-15s %10s states  %s\n' "$spec" "${variant:-all guards}" "$outcome" "$states" "$verdict"
}

check attempt proved
for v in NO_SESSION_FENCE NO_INCARNATION NO_SEEN_TABLE UNKNOWN_AS_NOT_RUN; do check attempt counterexample $v; done
check claim proved
for v in NO_VOID NO_LOG_ORDER NO_HORIZON RESTART_IS_RECEIPT; do check claim counterexample $v; done
check bundle proved
for v in NO_BASE CHECKPOINT_BY_POSITION NO_READ_TO_END NO_ACCEPT_OFFSET; do check bundle counterexample $v; done
check order proved
for v in NO_TARGET_CHECK FENCE_IS_LOCAL; do check order counterexample $v; done
check loan proved
for v in NO_STALENESS NO_LOAN_DELAY NO_SETTLE_TIME; do check loan counterexample $v; done

echo "model: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
