#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, into target/. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
go build -o ../../target/review-2 .
