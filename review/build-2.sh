#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. To be run after the build of the
# deploy file, which builds the programs of the project. The cases start no stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/harness-2/*.java
