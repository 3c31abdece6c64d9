#!/bin/sh
# Builds the programs that the scripts of the cases start. Needs the packages of
# the deploy file only.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/case-$number" "$source" -lpthread
done
