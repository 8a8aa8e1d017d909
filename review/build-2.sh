#!/bin/sh
# Builds the driver of the second review's scripts, with all its stand-ins, into target/.
cd "$(dirname "$0")/driver-2" || exit 2
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go test -c -o ../../target/review-driver-2 .
