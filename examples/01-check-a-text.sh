#!/bin/bash
# Checks a fleet text, shows every error of a broken one, and tells what a new release would change.
source "$(dirname "$0")/support.sh"

say "A valid text"
"$apricothook" check examples/small.json
echo "exit code $?"

say "The same with a target of a service that doesn't exist, and an address without a port"
sed -e 's/"like": "chat-fast"/"service": "chta"/' -e 's/127.0.0.1:24103/127.0.0.1/' \
    examples/small.json >"$folder/broken.json"
code=0
"$apricothook" check "$folder/broken.json" 2>"$folder/errors" || code=$?
sed "s|$folder/||" "$folder/errors"
echo "exit code $code"
expect "the exit code of a broken text" "$code" 2

say "What a release with a faster decode hint and a longer patience would bring about"
sed -e 's/"decodeTokensPerSecond": 80/"decodeTokensPerSecond": 95/' \
    -e 's/"patienceSeconds": 30/"patienceSeconds": 45/' examples/small.json >"$folder/new.json"
"$apricothook" diff examples/small.json "$folder/new.json"
