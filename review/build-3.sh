#!/bin/sh
# Builds the programs of the third review's scripts into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 12 13 14 15; do
    go build -buildvcs=false -o "target/review-3/$n" "./review/$n"
done
