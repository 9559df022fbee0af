#!/bin/sh
# Builds what the scripts of the second review start besides the deploy file's build: one program that holds the
# stand-ins and the judges.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
CGO_ENABLED=1 go build -buildvcs=false -o target/review-2/standin-2 ./review/standin-2
