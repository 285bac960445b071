#!/bin/sh
# Builds what the cases 6 to 8 start beside the program of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o bin/review-standin-2 ./review/standin-2
