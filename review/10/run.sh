#!/bin/bash
# Exits with 1 if the rule LIMIT was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/balsamsail target/review-10; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
exec target/review-10 -trouble="$trouble" -record review/10/record.txt
