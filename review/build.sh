#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library: only their
# syntax is checked. The programs under test come from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standin/*.py [0-9]*/*.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
print(len(sys.argv) - 1, "files checked")
PY
for program in platform-entryd platform-controld; do
  [ -x "../target/bin/$program" ] || { echo "target/bin/$program is missing: run the build of deploy/system.toml" >&2; exit 2; }
done
