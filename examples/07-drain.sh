#!/bin/bash
# Stops a daemon while it streams an answer: the answer is whole, and the daemon ends by itself.
source "$(dirname "$0")/support.sh"
start_site
start_daemon 1 east-1
start_daemon 2 east-2

say "A prompt of 200 tokens through entry-1, and SIGTERM after a second"
send 1 chat/v1/completions batch '{"model":"chat-8b","prompt":"Tell me all","maxTokens":200}' \
    >"$folder/answer" &
answer=$!
sleep 1
kill "${pids[entry-1]}"
sleep 0.5
say "The entries that callers are given while entry-1 leaves"
"$apricothook" lookup --entry "$(callerAddress 2)"

wait "$answer"
say "The answer's end"
tail -c 60 "$folder/answer"
expect "the end of the stream" "$(grep -c 'data: \[DONE\]' "$folder/answer")" 1

say "The daemon's end"
code=0
wait "${pids[entry-1]}" || code=$?
echo "exit code $code"
expect "the exit code" "$code" 0
grep -E 'LeaveBegan|EntryClosed|Drained' "$folder/entry-1.log"
