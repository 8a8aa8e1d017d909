#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/hornbeamvaled target/review-driver-2; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build-2.sh"
		exit 2
	fi
done
exec target/review-driver-2 forgotten review/6/record.txt
