#!/bin/sh
# Builds the stand-ins that the cases start, into review/target. Needs the Go toolchain only.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off go build -o ../target/harness .
