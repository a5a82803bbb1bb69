#!/usr/bin/env bash
# Generates the committed codecs from their schemas. Needs flatc 2.0.8 (flatbuffers-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in Libraries/*/*.fbs; do
    options=(--cpp --scoped-enums)
    # The peer link uses the object API of FlatBuffers.
    [ "$(basename "$schema")" != PeerMessage.fbs ] || options+=(--gen-object-api --cpp-std c++17)
    flatc "${options[@]}" -o "$(dirname "$schema")" "$schema"
done
