#!/bin/sh
# Builds the scripts of the second review, with their stand-ins, into
# target/review-2. Run it after the build of deploy/system.toml. Needs g++ only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
	[ -f "review/$n/case.cc" ] || continue
	g++ -std=c++17 -O1 -Wall -Wextra -pthread "review/$n/case.cc" \
		-o "target/review-2/$n"
done
