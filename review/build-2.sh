#!/bin/sh
# The store, the runners, the clients and the platform of the cases 6 to 10 are Python in lib-2/ and in the cases: nothing
# has to be compiled. This checks that they can be read, and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
for path in sorted([*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[6-9]/*.py"),
                    *pathlib.Path(".").glob("10/*.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
test -x ../target/briarhinge-node
