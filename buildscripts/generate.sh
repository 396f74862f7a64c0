#!/usr/bin/env bash
# Makes the committed gRPC code anew from src/peer/peer.proto. Only maintainers need it.
set -euo pipefail
cd "$(dirname "$0")/../src/peer"
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
