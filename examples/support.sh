# What the numbered examples share; sourced, not run. All ports are on loopback: the platform at
# FIRST_PORT + 1, targets from + 101, and daemon N at + 200 + N (callers), + 300 + N (peers) and
# + 400 + N (metrics). FIRST_PORT is 24000 unless it is set.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
firstPort="${FIRST_PORT:-24000}"
programs="${BUILD:-build/release}/packages"
apricothook="$programs/cli/apricothook"
standin="$programs/testing/apricothook-standin"
daemon="$programs/daemon/apricothookd"
longest=120
folder="$(mktemp -d)"
declare -A pids=()
order=()

say() { printf '\n# %s\n' "$*"; }

# Ends what this example started, newest first, so that daemons drain before their targets go.
finish() {
    local at
    for ((at = ${#order[@]} - 1; at >= 0; at--)); do
        kill "${pids[${order[at]}]}" 2>/dev/null || true
        wait "${pids[${order[at]}]}" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap finish EXIT

start() {
    local name="$1"
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids[$name]=$!
    order+=("$name")
}

await() {
    for _ in $(seq 1 150); do
        curl -sf -o /dev/null -m 1 "$2" && return 0
        kill -0 "${pids[$1]}" 2>/dev/null || break
        sleep 0.1
    done
    echo "$1 isn't ready; its log ends with:" >&2
    tail -5 "$folder/$1.log" >&2
    return 1
}

callerAddress() { echo "127.0.0.1:$((firstPort + 200 + $1))"; }
metricsAddress() { echo "127.0.0.1:$((firstPort + 400 + $1))"; }

# The example's text with its ports moved to firstPort, the platform and the targets.
start_site() {
    fleet="$folder/fleet.json"
    sed "s/127\.0\.0\.1:241/127.0.0.1:$((firstPort / 100 + 1))/" examples/small.json >"$fleet"
    start platform "$standin" platform --port $((firstPort + 1)) --fleet "$fleet" --seconds $longest
    start targets "$standin" site --fleet "$fleet" --seconds $longest
    await platform "http://127.0.0.1:$((firstPort + 1))/_counts"
    await targets "http://127.0.0.1:$((firstPort + 103))/_counts"
    echo "1 $(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')" >"$folder/peer-keys"
}

# start_daemon NUMBER DATA-CENTRE
start_daemon() {
    cat >"$folder/settings-$1.json" <<SETTINGS
{
    "id": "entry-$1", "vm": "entry-vm-$1", "dataCentre": "$2", "region": "east",
    "callerAddress": "$(callerAddress "$1")",
    "peerAddress": "127.0.0.1:$((firstPort + 300 + $1))",
    "metricsAddress": "$(metricsAddress "$1")",
    "platformAddress": "127.0.0.1:$((firstPort + 1))",
    "seeds": ["127.0.0.1:$((firstPort + 301))"],
    "peerKeyFile": "$folder/peer-keys"
}
SETTINGS
    start "entry-$1" "$daemon" --settings "$folder/settings-$1.json"
    await "entry-$1" "http://$(metricsAddress "$1")/readyz"
}

# send ENTRY-NUMBER SERVICE-PATH CLASS BODY [curl options]; prints the status, headers of ours, body.
send() {
    local entry="$1" path="$2" class="$3" body="$4"
    shift 4
    curl -s -m 60 -D "$folder/headers" -o "$folder/body" -X POST "$@" \
        -H "Authorization: Bearer ${TOKEN:-example-app}" -H "Apricothook-Class: $class" \
        --data "$body" "http://$(callerAddress "$entry")/v1/services/$path"
    grep -iE '^(HTTP|Apricothook-Request|Retry-After|Content-Type)' "$folder/headers" | tr -d '\r'
    cat "$folder/body"
    echo
}

# The status code of the last send().
sent_status() { sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' "$folder/headers"; }

# expect WHAT GOT WANTED: an example that shows something else than it says fails.
expect() {
    if [ "$2" != "$3" ]; then
        echo "example failed: $1: $2 in place of $3" >&2
        exit 1
    fi
}
