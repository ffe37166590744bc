"""What callers and targets saw, held against the promises. Each finding is a line."""

from bisect import bisect_right
from collections import defaultdict

import callers
import daemons
import targets

# A daemon counts only when nothing was done to it, its links or its store for so long.
CALM_SECONDS = 4.0
# The bound for a target's leaving and for a configuration, with a second for this machine's load.
DRAIN_BOUND, APPLY_BOUND, EVACUATION_BOUND = 3.0, 3.0, 4.0
SERVICES = {"/u/": "plain", "/i/": "plain", "/r/": "streams", "/n/": "streams"}
NOT_RUN = (408, 421, 429, 503)
SERVED_AT_END = 0.9


def findings(bench) -> list[str]:
    sent = {seen.request_id: seen for seen in bench.callers.seen}
    runs = defaultdict(list)
    found = []
    for run in bench.runs:
        runs[run.request_id].append(run)
        found += of_run(run, sent.get(run.request_id))
    for seen in bench.callers.seen:
        found += of_answer(seen, runs[seen.request_id])
        found += of_key(seen, bench)
    found += of_leaving(bench, sent)
    found += of_evacuation(bench, sent)
    found += of_cold(bench)
    found += of_repeats(bench)
    found += of_crashing(bench)
    found += [f"STOP vm-{index} ended with {status}" for index, status in bench.stops if status != 0]
    return found + of_recovery(bench)


def of_run(run, seen) -> list[str]:
    if not seen:
        return [f"UNASKED {run.request_id}: ran at {run.target}, nobody sent it"]
    found = []
    if (run.line, run.body) != (seen.line, seen.body):
        found.append(f"UNASKED {run.request_id}: changed on the way to {run.target}: {run.line}")
    if run.service != SERVICES[seen.line.split(" ")[1][:3]]:
        found.append(f"ROUTE {run.request_id}: ran at {run.target} of {run.service}")
    if run.customer != "customer":
        found.append(f"UNASKED {run.request_id}: ran for '{run.customer}'")
    return found


def of_answer(seen, runs) -> list[str]:
    found = []
    if seen.kind in ("unsafe", "single") and len(runs) > 1:
        found.append(f"TWICE {seen.request_id} ({seen.kind}): ran at {[run.target for run in runs]}")
    if seen.status in NOT_RUN and runs and seen.kind in ("unsafe", "single"):
        found.append(f"REFUSED {seen.request_id}: told {seen.status}, ran at {runs[0].target}")
    if seen.status != 200:
        if seen.status and seen.signature:
            found.append(f"MIXED {seen.request_id}: status {seen.status} with a signature")
        return found
    expected = callers.expected_answer(seen)
    if seen.signature != targets.signature(seen.request_id):
        found.append(f"MIXED {seen.request_id}: signature {seen.signature}")
    if seen.whole and seen.answer != expected:
        found.append(f"MIXED {seen.request_id} ({seen.kind}): a whole answer of {len(seen.answer)} bytes, "
                     f"not {len(expected)}")
    if not expected.startswith(seen.answer):
        found.append(f"ORDER {seen.request_id} ({seen.kind}): not a beginning of the target's answer")
    return found


def is_calm(bench, seen, since: float) -> bool:
    return all(not since - CALM_SECONDS <= harm <= seen.sent + 1 for harm in bench.harms[seen.daemon])


def of_key(seen, bench) -> list[str]:
    revoked = bench.revoked.get(seen.key)
    if seen.status != 200 or revoked is None or seen.sent < revoked + APPLY_BOUND:
        return []
    if not is_calm(bench, seen, revoked):
        return []
    return [f"CONFIG {seen.request_id}: served {seen.sent - revoked:.1f} s after its key was taken away"]


def of_leaving(bench, sent) -> list[str]:
    found = []
    for run in bench.runs:
        left = bench.left.get(run.target)
        seen = sent.get(run.request_id)
        if left is None or not seen or run.started < left + DRAIN_BOUND or not is_calm(bench, seen, left):
            continue
        found.append(f"DRAIN {run.request_id}: reached {run.target} {run.started - left:.1f} s after its leaving")
    return found


def of_evacuation(bench, sent) -> list[str]:
    found = []
    for zone, began, ended in bench.evacuations:
        for run in bench.runs:
            seen = sent.get(run.request_id)
            if not seen or run.zone != zone or not began + EVACUATION_BOUND < run.started < ended:
                continue
            if is_calm(bench, seen, began):
                found.append(f"EVAC {run.request_id}: reached {run.target} {run.started - began:.1f} s after")
    return found


def of_cold(bench) -> list[str]:
    found, recent = [], defaultdict(list)
    for run in bench.runs:
        if not run.is_cold:
            continue
        recent[run.target] = [start for start in recent[run.target] if start > run.started - 1] + [run.started]
        if len(recent[run.target]) > targets.COLD_BOUND:
            found.append(f"FAILBACK {run.request_id}: cold {run.target} got {len(recent[run.target])} in a second")
    return found


def worst_repeats(bench) -> tuple[float, str]:
    """The largest part of the retry budget that a service got in any window, and the words for it."""
    worst = (0.0, "no repeats")
    for service in sorted({arrival.service for arrival in bench.arrivals}):
        sent = sorted(seen.sent for seen in bench.callers.seen if SERVICES[seen.line.split(" ")[1][:3]] == service)
        repeats = repeats_at(bench, service)
        for last, at in enumerate(repeats):
            window = last + 1 - bisect_right(repeats, at - daemons.RETRY_WINDOW)
            budget = daemons.RETRY_RATIO * most_sent(sent, at) + daemons.RETRY_SLACK
            worst = max(worst, (window / budget, f"{service} got {window} repeats of {budget:.0f} by "
                                                 f"{at - bench.started:.1f} s"))
    return worst


def repeats_at(bench, service: str) -> list[float]:
    known, repeats = set(), []
    for arrival in bench.arrivals:
        if arrival.service != service:
            continue
        if arrival.request_id in known:
            repeats.append(arrival.at)
        known.add(arrival.request_id)
    return repeats


def most_sent(sent: list[float], until: float) -> int:
    """In the window that ends then, the one before it, or the one half a window before it."""
    ends = [until - part * daemons.RETRY_WINDOW for part in (0, 0.5, 1)]
    return max(bisect_right(sent, end) - bisect_right(sent, end - daemons.RETRY_WINDOW) for end in ends)


def of_repeats(bench) -> list[str]:
    part, words = worst_repeats(bench)
    return [f"BUDGET: {words}"] if part > 1 else []


def of_crashing(bench) -> list[str]:
    """Requests that crash their targets, by body: how many reach one long after the third crash."""
    crashes, late = defaultdict(list), defaultdict(int)
    bodies = {seen.request_id: seen.body for seen in bench.callers.seen if seen.body.startswith(targets.CRASHING)}
    for run in bench.runs:
        if run.body.startswith(targets.CRASHING):
            crashes[run.body].append(run.started)
    for arrival in bench.arrivals:
        body = bodies.get(arrival.request_id)
        if body and len(crashes[body]) >= 3 and arrival.at > crashes[body][2] + CALM_SECONDS:
            late[body] += 1
    return [f"BUDGET: a request that crashes targets reached {count} long after its third crash"
            for count in late.values() if count > 3]


def of_recovery(bench) -> list[str]:
    last = [seen for seen in bench.callers.seen if seen.sent > bench.calm_from and not seen.gave_up
            and seen.key in bench.keys and seen.ended]
    served = sum(seen.status == 200 and seen.whole for seen in last)
    if last and served >= SERVED_AT_END * len(last):
        return []
    return [f"RECOVER: {served} of {len(last)} served after all faults had ended"]
