#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, with the compiler and its standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != platform ]; then
        rustc --edition 2024 -O -o "target/review/$name" "$source"
    fi
done
