#!/bin/sh
# Builds the stand-ins of all cases. Run the build line of the deploy file first.
cd "$(dirname "$0")/.." && go build -buildvcs=false -o review/bin/standin ./review/standin
