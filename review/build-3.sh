#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3; run it after the build of the deploy file.
# Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile=(g++ -std=c++20 -O1 -Wall -Wextra -I.)
pids=()
for source in review/stand-ins-3/*.cpp; do
    "${compile[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    "${compile[@]}" "$source" "$out"/*.o -o "$out/case-$(basename "$(dirname "$source")")"
done
