#!/bin/sh
# Regenerate the committed protobuf and gRPC modules.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv/bin/python}"
"$python" -m grpc_tools.protoc -I src --python_out=src \
    src/agatethread/wire/datagram.proto src/agatethread/wire/peer.proto \
    src/agatethread/wire/registry.proto
"$python" -m grpc_tools.protoc -I src --python_out=src --grpc_python_out=src \
    src/agatethread/wire/control.proto
