#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -e
cd "$(dirname "$0")/4/standins"
go build -o ../../../target/reviewstandins .
