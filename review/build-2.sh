#!/bin/sh
# Prepares the stand-ins that the scripts of cases 6 to 10 start. They are Python files that need only
# the standard library, so there is nothing to compile; checks that they can be read and that the
# project's programs are built.
cd "$(dirname "$0")/.." || exit 1
command -v python3 > /dev/null || { echo "python3 is missing"; exit 1; }
for source in review/standin-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -f "$source" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source" || exit 1
done
for program in platform-controld platform-entryd; do
    [ -x "target/bin/$program" ] || { echo "target/bin/$program is missing: run the build of the deploy file"; exit 1; }
done
