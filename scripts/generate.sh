#!/usr/bin/env bash
# Generates the protobuf code anew; only needed after a change of a .proto file, with Debian's protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../src/runlink/proto"
protoc --cpp_out=generated peer.proto gossip.proto
