#!/usr/bin/env bash
# Builds the stand-ins of the scripts, the project's own too; needs the finished build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
sources=(review/world.cpp standins/replicated_service/service_model.cpp standins/line_platform/line_instances.cpp)
jobs=()
for source in "${sources[@]}"; do
    g++ -std=c++20 -O1 -g -Wall -Wextra -I. -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    jobs+=("$!")
done
for job in "${jobs[@]}"; do
    wait "$job"
done
g++ "$out"/*.o -o "$out/world" -Wl,--start-group target/libgentianhill_*.a -Wl,--end-group \
    $(pkg-config --libs libevent libnghttp2 libxxhash libcrypto) -lfmt -lboost_program_options
