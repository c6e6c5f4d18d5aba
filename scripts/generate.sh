#!/usr/bin/env bash
# Renews the committed code that the Thrift compiler makes of the peer protocol.
set -euo pipefail
cd "$(dirname "$0")/../packages/protocol"
thrift --gen cpp:no_skeleton,moveable_types -out generated peer.thrift
thrift --gen cpp:no_skeleton,moveable_types -out generated gateway.thrift
