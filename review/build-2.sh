#!/bin/sh
# Builds the stand-ins that the scripts of this review start, in target/review-2. Run it after the build of the
# deploy file, in the repository's root: it links that build's libraries.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
libraries=""
for name in platform/libbriarhead_platform.a packages/serving/libbriarhead_serving.a \
    packages/scheduling/libbriarhead_scheduling.a packages/coordination/libbriarhead_coordination.a \
    packages/transport/libbriarhead_transport.a packages/protocol/libbriarhead_protocol.a \
    packages/state/libbriarhead_state.a; do
    libraries="$libraries target/$name"
done
for case in review/[4-8]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Ireview/standins-2 -Itests -Ipackages -I. "$case" tests/serving/fake_store.cpp \
        tests/serving/store_standin.cpp tests/serving/backend_standin.cpp \
        tests/serving/fault_proxy.cpp tests/serving/notice_check.cpp tests/scheduling/limit_check.cpp -o "target/review-2/case-$number" -Wl,--start-group $libraries \
        -Wl,--end-group $(pkg-config --libs libcurl libmicrohttpd libsodium spdlog fmt zlib 2>/dev/null) \
        -lev -lz -lxxhash -lpthread
done
