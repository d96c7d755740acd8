#!/bin/sh
# Builds the stand-ins of all cases.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../../target/review
go build -o ../../target/review/stand .
