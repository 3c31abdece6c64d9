#!/usr/bin/env bash
# Runs the case in a folder of review/ for 115 s at most. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-$(basename "$here")
if [ ! -x "$program" ] || [ ! -x "$root/target/daemons/wigeonwalk-entry" ]; then
  echo "not built: run the build command of deploy/system.toml and review/build-2.sh"
  exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
ROOT=$root SCRATCH=$scratch RECORD=$here/record.txt \
  timeout -k 2 115 "$program"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
