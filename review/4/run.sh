#!/bin/sh
# Sends long prompts; one of three backends is replaced while they are read: a new one starts, the old one drains and ends.
# It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 drain-after-prefill "$PWD/review/4/record.txt"
