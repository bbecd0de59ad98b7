#!/usr/bin/env bash
# Copies the stand-ins to target/review and byte-compiles them there. They need Python's
# standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
cp ./*.py ../target/review/
python3 -m compileall -q ../target/review
