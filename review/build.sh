#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags="-O1 -g -Wall -D_GNU_SOURCE -I. -Itests/tools -pthread $(pkg-config --cflags glib-2.0)"
libs="-pthread $(pkg-config --libs glib-2.0)"
gcc -std=gnu11 $flags -c tests/tools/lib_proc.c -o review/bin/lib_proc.o
for source in review/[1-5]/case.cc; do
	[ -e "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	g++ -std=c++17 $flags "$source" review/bin/lib_proc.o -o "review/bin/case$n" $libs
done
