#!/bin/sh
# Removes a service while streams are under way there; its backends then leave, one after the other.
# It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 resume-at-removed-service "$PWD/review/7/record.txt"
