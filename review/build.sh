#!/bin/sh
# Builds the program with the stand-ins and the cases. It needs no network.
set -eu
cd "$(dirname "$0")/driver"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go test -c -o ../bin/driver .
