#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2, after the build of the deploy file. It needs
# no network: the cases of the router use the standard library only, that of the control plane the packages that the control
# plane uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case_*.rs; do
    rustc --edition 2024 -O -o "target/review-2/$(basename "$source" .rs)" "$source"
done
manifest=review/standins-2/control/Cargo.toml
if [ -e "$manifest" ]; then
    CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --locked --manifest-path "$manifest"
    cp target/review-2/release/case_control target/review-2/case_control
fi
