#!/bin/sh
# Stops the machines in turn; no request that was passed on may be cut.
exec sh "$(dirname -- "$0")/../case.sh" 3
