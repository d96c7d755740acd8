#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 14 into review/stand-3/bin. It needs no network: they use the
# standard library only.
set -e
cd "$(dirname "$0")/stand-3"
mkdir -p bin
GOWORK="$PWD/go.work" GOTOOLCHAIN=local GOFLAGS= go build -o bin/stand3 .
