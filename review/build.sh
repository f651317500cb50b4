#!/usr/bin/env bash
# Builds the stand-ins and checks of all scripts into review/target; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -d target harness/*.java
