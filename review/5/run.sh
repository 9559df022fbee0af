#!/bin/sh
# Stops a machine with SIGTERM after a time without streams; clients send streams on kept connections later than 3 s after.
# It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 stream-after-a-pause "$PWD/review/5/record.txt"
