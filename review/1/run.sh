#!/bin/sh
# Bytes that are no answer and have no end, from one server, must not stop a process.
exec sh "$(dirname -- "$0")/../case.sh" 1
