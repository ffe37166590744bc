#!/bin/bash
# Sends a charge with a key, sends it again, and counts the runs at the target: one.
source "$(dirname "$0")/support.sh"
start_site
start_daemon 1 east-1

ticket="$(curl -s "http://$(callerAddress 1)/v1/entries" | sed 's/.*"ticket":"\([^"]*\)".*/\1/')"
key="$ticket.booking-17"

say "POST /v1/services/booking/charge with the key TICKET.booking-17"
send 1 booking/charge charge '{"sitter":4,"nights":2}' -H "Idempotency-Key: $key"
expect "the status of the first" "$(sent_status)" 200
cp "$folder/body" "$folder/first"

say "The same again, as after a broken connection: the first run's answer"
send 1 booking/charge charge '{"sitter":4,"nights":2}' -H "Idempotency-Key: $key"
cmp "$folder/first" "$folder/body" && echo "(the same bytes)"

say "The same key with another body"
send 1 booking/charge charge '{"sitter":4,"nights":3}' -H "Idempotency-Key: $key"
expect "the status of another body" "$(sent_status)" 409

say "What the target counted"
curl -s "http://127.0.0.1:$((firstPort + 103))/_counts" | tee "$folder/counts"
echo
