#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the router: one program with the
# stand-ins of the platform's store, the engines and the clients. It needs the standard
# library alone. The router itself is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/probe"
GOWORK=off GOFLAGS=-mod=mod go build -o target/probe .
