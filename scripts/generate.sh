#!/bin/sh
# Regenerates the committed protobuf code; needs the `generate` extra.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv/bin/python}"
"$python" -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src \
  src/godwittack/peer/peer.proto
