#!/bin/bash
# Sends a prompt, and asks the entry afterwards what it decided, step by step.
source "$(dirname "$0")/support.sh"
start_site
start_daemon 1 east-1

say "A prompt of the class chat, without a key: the entry mints one"
send 1 chat/v1/completions chat \
    '{"model":"chat-8b","prompt":"How did the walk go?","maxTokens":5}'
expect "the status" "$(sent_status)" 200
key="$(sed -n 's/^[Aa]pricothook-[Rr]equest: *//p' "$folder/headers" | tr -d '\r')"

say "apricothook explain --entry $(callerAddress 1) KEY"
"$apricothook" explain --entry "$(callerAddress 1)" "$key"
