#!/usr/bin/env bash
# All measurements, each with its baseline beside it; see docs/CAPACITY.md.
# Takes about five minutes on a quiet machine.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
section() { printf '\n== %s\n' "$*"; }
section "control: claims, documents, cost of control"
"$build"/bench_control
section "entry against straight to the endpoint: 500 streams, 60 tokens"
"$build"/bench_entry 500 60 50
section "log store against bare write and fdatasync"
"$build"/bench_store
section "state machine"
"$build"/bench_state
section "a change of one route, by the number of routes"
"$build"/bench_change
section "routing decision and placement round"
"$build"/bench_core
section "policy against the naive baselines, 5 seeds"
"$build"/bench_policy -n 5
