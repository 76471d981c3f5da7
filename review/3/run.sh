#!/bin/bash
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" discovery
