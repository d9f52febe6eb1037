#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
