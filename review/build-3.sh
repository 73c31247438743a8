#!/bin/sh
# Builds the stand-ins of the third review's scripts, with the standard library alone.
set -e
cd "$(dirname "$0")/trial"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-trial .
