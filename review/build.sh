#!/bin/sh
# Builds the stand-ins of the scripts into review/bin/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
