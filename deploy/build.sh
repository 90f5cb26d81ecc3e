#!/bin/sh
# Install the pinned libraries and the byte-compiled project into target/deps.
set -eu
cd "$(dirname "$0")/.."
if ! [ target/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps \
        --requirement deploy/requirements.txt
    touch target/.installed
fi
rm -rf target/deps/agatethread target/deps/agatethread_platform
cp -R src/agatethread platform/agatethread_platform target/deps/
python3 -m compileall -q target/deps
