#!/usr/bin/env bash
# The stand-ins are Python on the standard library; check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
