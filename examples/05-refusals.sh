#!/bin/bash
# Shows refusals: each has a reason, and says whether the request was run.
source "$(dirname "$0")/support.sh"
start_site
start_daemon 1 east-1

say "A token that belongs to no customer"
TOKEN=nobody send 1 booking/charge charge '{}'
expect "the status" "$(sent_status)" 401

say "Patience of a second for 200 tokens, which no target can meet"
send 1 chat/v1/completions batch '{"model":"chat-8b","prompt":"A long story","maxTokens":200}' \
    -H "Prefer: wait=1"
expect "the status" "$(sent_status)" 504

say "A customer of one request in ten seconds sends two"
TOKEN=example-trial send 1 booking/charge charge '{"sitter":1}'
TOKEN=example-trial send 1 booking/charge charge '{"sitter":2}'
expect "the status" "$(sent_status)" 429
