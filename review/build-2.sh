#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They and those of tools/soak are Python, so this only checks that they load.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import pathlib
for path in ["tools/soak/http1.py", "tools/soak/store.py", *pathlib.Path("review").glob("parts-2/*.py"), *pathlib.Path("review").glob("*/play.py")]:
    compile(pathlib.Path(path).read_text(), str(path), "exec")
'
