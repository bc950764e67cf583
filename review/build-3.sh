#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python in lib-3/ and in the cases: nothing has to be compiled. This checks that
# they can be read, and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
for path in sorted([*pathlib.Path("lib-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
test -x ../target/briarhinge-node
