#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the daemons. Most stand-ins are Python programs and need no build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -o target/review-2/traffic review/lib-2/traffic.cpp
