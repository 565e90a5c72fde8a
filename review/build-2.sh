#!/bin/sh
# Builds the stand-ins of cases 6 and up. Run the build line of the deploy file first.
cd "$(dirname "$0")/.." && go build -buildvcs=false -o review/bin/drill ./review/drill
