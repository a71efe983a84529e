#!/usr/bin/env bash
# Regenerates the protobuf code. Only needed after a change of a .proto file; requires Debian's protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../src/runlink/proto"
protoc --cpp_out=generated peer.proto gossip.proto
