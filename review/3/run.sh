#!/bin/bash
# With TROUBLE=0 the disruption is left out; the play reads it from the environment.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" discovery
