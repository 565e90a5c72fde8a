#!/bin/sh
# Plays the case from the repository's root, after the build line of the deploy file and
# review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec review/bin/drill abuse review/10
