#!/usr/bin/env bash
# Builds the stand-ins and clients of review/6 and later into target/review-2, with the libraries of the deploy
# file's build, which has to be finished.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
read -r -a flags <<<"$(pkg-config --cflags libevent) -std=c++20 -O1 -g -Wall -Wextra -I."
read -r -a libraries <<<"$(pkg-config --libs libevent libnghttp2 libxxhash libcrypto) -lfmt -lboost_program_options"
shared=(review/deployment_2.cpp standins/line_platform/line_instances.cpp standins/replicated_service/service_model.cpp)
objects=()
for source in "${shared[@]}"; do
    object=$out/$(basename "$source" .cpp).o
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
done
wait
for source in review/[6-9]/*.cpp review/10/*.cpp; do
    if [ -e "$source" ]; then
        g++ "${flags[@]}" "$source" "${objects[@]}" -Wl,--start-group target/libgentianhill_*.a -Wl,--end-group \
            "${libraries[@]}" -o "$out/$(basename "$source" .cpp)"
    fi
done
