#!/usr/bin/env bash
# Case 8: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec target/review-2/release/review-2 gap "$folder"
