#!/bin/bash
# Starts three daemons in two data centres, looks entries up, and finds an answer from another entry.
source "$(dirname "$0")/support.sh"
start_site

say "Starting entry-1, entry-2 and entry-3"
start_daemon 1 east-1
start_daemon 2 east-2
start_daemon 3 east-2

say "apricothook status --entry $(callerAddress 3)"
for _ in $(seq 1 50); do
    "$apricothook" status --entry "$(callerAddress 3)" >"$folder/status"
    [ "$(grep -c 'entry-[123].*alive' "$folder/status")" -eq 3 ] && break
    sleep 0.2
done
sed -n '/members/,/^$/p' "$folder/status"

say "Which entries callers are given"
"$apricothook" lookup --entry "$(callerAddress 2)"

say "A charge through entry-1, then asked for and sent again at entry-3: not run twice"
ticket="$(curl -s "http://$(callerAddress 1)/v1/entries" | sed 's/.*"ticket":"\([^"]*\)".*/\1/')"
key="$ticket.booking-18"
send 1 booking/charge charge '{"sitter":9}' -H "Idempotency-Key: $key"
expect "the status at entry-1" "$(sent_status)" 200
cp "$folder/body" "$folder/first"
send 3 booking/charge charge '{"sitter":9}' -H "Idempotency-Key: $key"
cmp "$folder/first" "$folder/body" && echo "(the same bytes)"
