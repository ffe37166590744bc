#!/bin/bash
# Starts stand-ins for a small site and one daemon, and asks the daemon what it knows.
source "$(dirname "$0")/support.sh"

say "Starting the platform, the targets and entry-1"
start_site
"$daemon" --settings /dev/null --check >/dev/null 2>&1 && exit 1
start_daemon 1 east-1
echo "ready: $(curl -s -o /dev/null -w '%{http_code}' "http://$(metricsAddress 1)/readyz")"

say "apricothook status --entry $(callerAddress 1)"
"$apricothook" status --entry "$(callerAddress 1)"

say "The first lines of its log"
head -4 "$folder/entry-1.log"
