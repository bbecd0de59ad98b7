#!/usr/bin/env bash
# Byte-compiles the stand-ins. They need Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
