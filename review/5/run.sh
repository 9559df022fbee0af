#!/bin/sh
# Stops a machine with SIGTERM; clients use kept connections to it later than 3 s after that.
# It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 late-request-cut "$PWD/review/5/record.txt"
