"""Checks the records of callers and targets against the guarantees of the service. Each finding is one line."""

from bisect import bisect_right
from collections import Counter, defaultdict
from math import inf

import callers
import daemons
import targets

# Time bounds apply to a daemon only if no fault affected it, its links or its store for this long.
UNDISTURBED_SECONDS = 4.0
# Bounds for draining a target, applying a configuration and an evacuation; each includes one second for load on the machine.
DRAIN_BOUND, APPLY_BOUND, EVACUATION_BOUND = 3.0, 3.0, 4.0
# Requests of a target that names a limit in any window: what the limit allows, multiplied, plus the slack.
LIMIT_WINDOW, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
# Time within which all daemons know a limit that a target has begun to name or has lowered.
LIMIT_SPREAD_SECONDS = 1.0
SERVICES = {"/u/": "plain", "/i/": "plain", "/r/": "streams", "/n/": "streams"}
# Bounds for a part of prompts that crashes targets: sends long after the fifth crash, and how often requests that share a key
# or first part with it begin at once, against before; from this time after the fifth crash on, if there are so many.
FIFTH, STABLE_SECONDS, MOST_LATE_SENDS = 4, 3.0, 3
SHARERS_BOUND, SHARERS_FRACTION, FEWEST_SHARERS = 6.0, 0.5, 20
# What a daemon may take: its own 32 MB, and for each of 40 requests a body of 1 MB, an event and what its caller hasn't read.
LARGEST_MEMORY = (32 + 40 * 3 // 2) << 20
NOT_EXECUTED = (408, 421, 429, 503)
MIN_SERVED_AFTER_RECOVERY = 0.9
# Crashes of a service's targets while they are brittle: so many, and this fraction of their number.
MOST_FALLS, FALL_FRACTION = 2, 0.1
# From this time on, callers of daemons that are cut off from all targets are to be served as well as others: at least this
# fraction as often, or no more than so many of them fail, and so many of all requests.
CUT_BOUND, CUT_FRACTION, CUT_FAILURES, CUT_FAILURE_FRACTION = 4.0, 2 / 3, 10, 1 / 50
# Of so many streams that are taken up, the share that goes on is at least this fraction of the share of new ones that begin.
FEWEST_RESUMPTIONS, RESUMPTION_FRACTION = 12, 0.5
# A request that reaches a connection as it is closed may be lost if it wasn't passed on; its end is told within this time.
CROSSING_SECONDS = 0.2
# Configurations in force at a daemon may be so old.
CONFIGURATION_AGE = 10.0
# A target that lives so long before and after a request could serve it.
LIFE_MARGIN = 0.5


def findings(fleet) -> list[str]:
    sent = {record.request_id: record for record in fleet.callers.records}
    runs = defaultdict(list)
    found = []
    for run in fleet.runs:
        runs[run.request_id].append(run)
        found += check_run(run, sent.get(run.request_id))
    for record in fleet.callers.records:
        found += check_answer(record, runs[record.request_id], record.request_id in fleet.endless_ids)
        found += check_revoked_key(record, fleet)
    found += check_ends(fleet)
    found += check_begun_in_vain(fleet)
    found += check_drain(fleet, sent)
    found += check_evacuation(fleet, sent)
    found += check_cold_targets(fleet)
    found += check_limits(fleet, sent)
    found += check_retry_budget(fleet)
    found += check_crashing_requests(fleet)
    found += check_crashing_parts(fleet)
    found += [f"MEMORY: vm-{index} took {peak >> 20} MB" for index, peak in sorted(fleet.peak_memory.items()) if peak > LARGEST_MEMORY]
    found += check_versions(fleet)
    found += check_cuts(fleet)
    found += check_falls(fleet)
    found += check_accusations(fleet)
    found += [f"STOP vm-{index} ended with {status}" for index, status in fleet.stops if status != 0]
    return found + check_recovery(fleet)


def check_run(run, record) -> list[str]:
    if not record:
        return [f"UNASKED {run.request_id}: ran at {run.target}, nobody sent it"]
    found = []
    if (run.line, run.body) != (record.line, record.body):
        found.append(f"UNASKED {run.request_id}: changed on the way to {run.target}: {run.line}")
    if run.service != SERVICES[record.line.split(" ")[1][:3]]:
        found.append(f"ROUTE {run.request_id}: ran at {run.target} of {run.service}")
    if run.customer != "customer":
        found.append(f"UNASKED {run.request_id}: ran for '{run.customer}'")
    return found


def check_answer(record, runs, is_endless: bool) -> list[str]:
    found = []
    if record.kind in ("unsafe", "single") and len(runs) > 1:
        found.append(f"TWICE {record.request_id} ({record.kind}): ran at {[run.target for run in runs]}")
    if record.status in NOT_EXECUTED and runs and record.kind in ("unsafe", "single"):
        found.append(f"REFUSED {record.request_id}: told {record.status}, ran at {runs[0].target}")
    if record.status != 200:
        if record.status and record.signature:
            found.append(f"MIXED {record.request_id}: status {record.status} with a signature")
        return found
    expected, answer = callers.expected_answer(record), targets.without_versions(record.answer)
    if record.signature != targets.signature(record.request_id):
        found.append(f"MIXED {record.request_id}: signature {record.signature}")
    if record.complete and answer != expected:
        found.append(f"MIXED {record.request_id} ({record.kind}): a complete answer of {len(record.answer)} bytes, "
                     f"not {len(expected)}")
    if not expected.startswith(answer) and not is_endless:
        found.append(f"ORDER {record.request_id} ({record.kind}): not a beginning of the target's answer")
    return found


def is_undisturbed(fleet, record, since: float) -> bool:
    return all(not since - UNDISTURBED_SECONDS <= fault_time <= record.sent + 1 for fault_time in fleet.fault_times[record.daemon])


def shortest_timeout(fleet, at: float) -> float:
    """The shortest time limit of routes in the configurations that may be in force."""
    older = [seconds for since, seconds in fleet.timeouts if since <= at - CONFIGURATION_AGE][-1:]
    newer = [seconds for since, seconds in fleet.timeouts if at - CONFIGURATION_AGE < since <= at]
    return min([*older, *newer, callers.REQUEST_TIMEOUT_MS / 1000])


def harms_of(fleet, record) -> list[tuple[float, float]]:
    return [(began, ended) for began, ended in fleet.harms[record.daemon] if began <= record.ended and record.sent <= ended]


def is_harmed(fleet, record) -> bool:
    return bool(harms_of(fleet, record))


def was_down(fleet, record) -> bool:
    """Whether a target of the request's service wasn't up for its whole time; what it hadn't run may have been lost there."""
    service = SERVICES[record.line.split(" ")[1][:3]]
    return any(not any(life.since <= record.sent and record.ended <= life.until for life in target.lives)
               for target in fleet.targets if target.service == service)


def ends_by_excuse(fleet) -> dict[str, list]:
    """Requests that ended early, each with the ends of its runs, by what explains it; those of the daemons have no excuse ("")."""
    ends, arrived = defaultdict(list), {arrival.request_id for arrival in fleet.arrivals}
    executed = {run.request_id for run in fleet.runs}
    for end in fleet.ends:
        ends[end.request_id].append(end)
    found = defaultdict(list)
    for record in fleet.callers.records:
        is_error = record.status >= 500 and record.status not in NOT_EXECUTED
        if (record.is_broken or is_error) and not record.abandoned:
            runs = ends[record.request_id]
            found[excuse(fleet, record, runs, record.request_id in arrived, record.request_id in executed)].append((record, runs))
    return found


def excuse(fleet, record, runs, has_arrived: bool, has_run: bool) -> str:
    lasted = record.ended - record.sent
    if lasted >= shortest_timeout(fleet, record.sent):
        return "time limit"
    if any(end.how == targets.BROKEN_OFF for end in runs):
        return "target"
    if is_harmed(fleet, record):
        return "fault"
    if not has_run and was_down(fleet, record):
        return "target that was down"
    if not has_arrived and not record.status and lasted < CROSSING_SECONDS:
        return "crossed a close"
    return ""


def describe_end(fleet, record, ends) -> str:
    what = "cut" if record.is_broken else "failed"
    runs = ", ".join(f"{end.target} {end.how} at {end.at - fleet.started:.2f}" for end in ends)
    return (f"{record.request_id} ({record.kind}): {what} by vm-{record.daemon} at {record.ended - fleet.started:.2f} s after "
            f"{record.ended - record.sent:.2f} s, status {record.status}, {record.events() - record.last_event} events; runs: {runs or 'none'}")


def check_ends(fleet) -> list[str]:
    """A daemon may not end an answer, or leave a request without one, if neither its target nor a fault of its own did."""
    return [f"CUT {describe_end(fleet, record, ends)}" for record, ends in ends_by_excuse(fleet)[""]]


def excused_ends(fleet) -> list[str]:
    return [f"excused, {reason}: {describe_end(fleet, record, ends)}"
            for reason, early in ends_by_excuse(fleet).items() if reason for record, ends in early]


def check_begun_in_vain(fleet) -> list[str]:
    """A daemon that was asked to stop may not begin a request that it then breaks off."""
    ends = {reason: {record.request_id for record, _ in early} for reason, early in ends_by_excuse(fleet).items()}
    unexplained = ends.get("fault", set()) | ends.get("", set())
    executed = {run.request_id for run in fleet.runs}
    return [f"BEGUN {describe_end(fleet, record, [])}" for record in fleet.callers.records
            if record.request_id in executed and record.request_id in unexplained
            and not set(harms_of(fleet, record)) - fleet.stop_harms
            and any(signalled <= record.sent and signalled <= record.ended <= ended + CROSSING_SECONDS
                    for signalled, ended in fleet.stop_times[record.daemon])]


def check_revoked_key(record, fleet) -> list[str]:
    revoked = fleet.revoked.get(record.key)
    if record.status != 200 or revoked is None or record.sent < revoked + APPLY_BOUND:
        return []
    if not is_undisturbed(fleet, record, revoked):
        return []
    return [f"CONFIG {record.request_id}: served {record.sent - revoked:.1f} s after its key was taken away"]


def check_drain(fleet, sent) -> list[str]:
    found = []
    for run in fleet.runs:
        left_at = fleet.left_at.get(run.target)
        record = sent.get(run.request_id)
        if left_at is None or not record or run.started < left_at + DRAIN_BOUND or not is_undisturbed(fleet, record, left_at):
            continue
        found.append(f"DRAIN {run.request_id}: reached {run.target} {run.started - left_at:.1f} s after its leaving")
    return found


def check_evacuation(fleet, sent) -> list[str]:
    found = []
    for zone, began, ended in fleet.evacuations:
        for run in fleet.runs:
            record = sent.get(run.request_id)
            if not record or run.zone != zone or not began + EVACUATION_BOUND < run.started < ended:
                continue
            if is_undisturbed(fleet, record, began):
                found.append(f"EVAC {run.request_id}: reached {run.target} {run.started - began:.1f} s after")
    return found


def check_cold_targets(fleet) -> list[str]:
    found, recent = [], defaultdict(list)
    for run in fleet.runs:
        if not run.is_cold:
            continue
        recent[run.target] = [start for start in recent[run.target] if start > run.started - 1] + [run.started]
        if len(recent[run.target]) > targets.COLD_BOUND:
            found.append(f"FAILBACK {run.request_id}: cold {run.target} got {len(recent[run.target])} in a second")
    return found


def check_limits(fleet, sent) -> list[str]:
    """Counts the arrivals from all daemons, told or not, but those that a fault affected."""
    found = []
    for target in sorted({limit.target for limit in fleet.limits}):
        limits = [limit for limit in fleet.limits if limit.target == target]
        times = sorted(arrival.at for arrival in fleet.arrivals if arrival.target == target
                       and (record := sent.get(arrival.request_id)) and is_undisturbed(fleet, record, arrival.at))
        over = [(arrived - allowed, at, arrived, allowed) for last, at in enumerate(times)
                if (allowed := allowed_arrivals(limits, at)) < (arrived := last + 1 - bisect_right(times, at - LIMIT_WINDOW))]
        if over:
            _, at, arrived, allowed = max(over)
            found.append(f"LIMIT: {target} got {arrived} requests of {allowed:.1f} in {LIMIT_WINDOW:g} s by {at - fleet.started:.1f} s")
    return found


def allowed_arrivals(limits, until: float) -> float:
    """Arrivals that the limits named by a target allow in the window that ends at `until`."""
    begin = until - LIMIT_WINDOW
    if begin < limits[0].since + LIMIT_SPREAD_SECONDS:
        return inf
    allowed = 0.0
    for limit, following in zip(limits, [*limits[1:], None]):
        # The higher one of two limits applies until the lower one has spread.
        grace = LIMIT_SPREAD_SECONDS if following and following.per_second < limit.per_second else 0
        end = min(until, following.since + grace) if following else until
        length = max(0.0, end - max(begin, limit.since))
        allowed += limit.per_second * length if length else 0
    return allowed * LIMIT_FACTOR + LIMIT_SLACK


def worst_retry_usage(fleet) -> tuple[float, str]:
    """Highest use of the retry budget by a service in any window, as a fraction, and its description."""
    worst = (0.0, "no retries")
    for service in sorted({arrival.service for arrival in fleet.arrivals}):
        sent = sorted(record.sent for record in fleet.callers.records if SERVICES[record.line.split(" ")[1][:3]] == service)
        retries = retry_times(fleet, service)
        for last, at in enumerate(retries):
            window = last + 1 - bisect_right(retries, at - daemons.RETRY_WINDOW)
            budget = daemons.RETRY_RATIO * peak_request_count(sent, at) + daemons.RETRY_SLACK
            worst = max(worst, (window / budget, f"{service} got {window} retries of {budget:.0f} by "
                                                 f"{at - fleet.started:.1f} s"))
    return worst


def retry_times(fleet, service: str) -> list[float]:
    seen_ids, retries = set(), []
    for arrival in fleet.arrivals:
        if arrival.service != service:
            continue
        if arrival.request_id in seen_ids:
            retries.append(arrival.at)
        seen_ids.add(arrival.request_id)
    return retries


def peak_request_count(sent: list[float], until: float) -> int:
    """Highest request count of three windows: ending at `until`, half a window earlier and one window earlier."""
    ends = [until - fraction * daemons.RETRY_WINDOW for fraction in (0, 0.5, 1)]
    return max(bisect_right(sent, end) - bisect_right(sent, end - daemons.RETRY_WINDOW) for end in ends)


def check_retry_budget(fleet) -> list[str]:
    fraction, description = worst_retry_usage(fleet)
    return [f"BUDGET: {description}"] if fraction > 1 else []


def check_crashing_requests(fleet) -> list[str]:
    """Counts, by body, arrivals of crashing requests long after their third crash, from all daemons."""
    crashes, late = defaultdict(list), defaultdict(int)
    for crash in fleet.crashes:
        crashes[crash.body].append(crash.at)
    bodies = {record.request_id: record.body for record in fleet.callers.records if record.body in crashes}
    for arrival in fleet.arrivals:
        body = bodies.get(arrival.request_id)
        if body and len(crashes[body]) >= 3 and arrival.at > crashes[body][2] + UNDISTURBED_SECONDS:
            late[body] += 1
    return [f"BUDGET: a request that crashes targets reached {count} long after its third crash; {len(crashes[body])} crashed in all"
            for body, count in late.items() if count > 3]


def is_in_touch(fleet, record) -> bool:
    return all(not record.sent - STABLE_SECONDS <= fault_time <= record.sent + 1 for fault_time in fleet.fault_times[record.daemon])


def requests_of(fleet, part: str) -> dict[str, callers.RequestRecord]:
    return {record.request_id: record for record in fleet.callers.records if part in record.parts}


def crash_times(fleet, part: str) -> list[float]:
    return sorted(crash.at for crash in fleet.part_crashes if crash.part == part)


def late_sends(fleet, part: str) -> int:
    """Arrivals at targets, from daemons in touch, of requests with the part long after its fifth crash."""
    crashes, requests = crash_times(fleet, part), requests_of(fleet, part)
    if len(crashes) <= FIFTH:
        return 0
    return sum(arrival.at > crashes[FIFTH] + STABLE_SECONDS and is_in_touch(fleet, requests[arrival.request_id])
               for arrival in fleet.arrivals if arrival.request_id in requests)


def begins_at_once(record) -> bool:
    return record.status == 200 and (record.complete or record.events() > 0)


def sharers(fleet, part: str) -> list[list[bool]]:
    """Whether sound requests with the same key or first part as those with the part began at once: before, early and late."""
    crashes, requests = crash_times(fleet, part), requests_of(fleet, part).values()
    if not crashes or not requests:
        return [[], [], []]
    kinds, keys, firsts = ({value(record) for record in requests} for value in
                           (lambda record: record.kind, lambda record: record.key, lambda record: record.parts[0]))
    ends = max(record.sent for record in requests)
    settled = crashes[:FIFTH + 1][-1] + SHARERS_BOUND
    groups: list[list[bool]] = [[], [], []]
    for record in fleet.callers.records:
        is_sound = not set(record.parts) & set(fleet.crashing_parts) and not record.abandoned and not record.is_repeated and record.ended
        shares = record.kind in kinds and (record.key in keys or record.parts[0] in firsts)
        if not is_sound or not shares or record.resumes or not is_in_touch(fleet, record):
            continue
        if record.sent < min(fleet.first_crash(), crashes[0]) - 1:
            groups[0].append(begins_at_once(record))
        elif crashes[0] <= record.sent <= ends:
            groups[1 if record.sent < settled else 2].append(begins_at_once(record))
    return groups


def share(group: list[bool]) -> float:
    return sum(group) / len(group) if group else inf


def part_summaries(fleet) -> list[str]:
    return [f"part {part}: {len(crash_times(fleet, part))} crashes, {late_sends(fleet, part)} late of {len(requests_of(fleet, part))} requests; "
            f"sharers begin at once: {', '.join(f'{share(group):.3f} of {len(group)}' for group in sharers(fleet, part))}"
            for part in fleet.crashing_parts]


def check_crashing_parts(fleet) -> list[str]:
    """A part that crashes targets is stopped, and requests that share the other parts of its requests aren't."""
    found = []
    for part in fleet.crashing_parts:
        late = late_sends(fleet, part)
        if late > MOST_LATE_SENDS:
            found.append(f"BUDGET: requests with part {part} reached {late} long after its fifth crash; {len(crash_times(fleet, part))} crashed in all")
        before, _, after = sharers(fleet, part)
        if min(len(before), len(after)) >= FEWEST_SHARERS and share(after) < SHARERS_FRACTION * share(before):
            found.append(f"LOST: of the requests that share a key or first part with part {part} {share(after):.3f} begin at once, "
                         f"{share(before):.3f} before")
    return found


def streams_of_several_versions(fleet) -> tuple[set[str], set[str]]:
    """Streams with events of targets of several versions: within one answer, and over a caller's attempts only."""
    versions, within = defaultdict(set), set()
    for record in fleet.callers.records:
        found = set(targets.versions_of(record.answer))
        versions[record.stream_id] |= found
        if len(found) > 1:
            within.add(record.stream_id)
    return within, {stream for stream, found in versions.items() if len(found) > 1} - within


def is_serving(fleet, version: str, record) -> bool:
    """Whether two targets of the version live around the time of the request."""
    alive = sum(life.version == version and life.since < record.sent - LIFE_MARGIN and record.sent + LIFE_MARGIN < life.until
                for target in fleet.targets for life in target.lives if target.service == "streams")
    return alive >= 2


def went_on(record) -> bool:
    """A stream whose last event the caller had already got ends at once."""
    return record.events() > record.last_event or record.complete and record.status == 200


def resumption_counts(fleet, in_touch: bool) -> tuple[int, int, int, int]:
    """Streams that callers took up while their version served: those that went on, and all; new streams: those that began, and all."""
    ended = [record for record in fleet.callers.records if record.kind == "resumable" and record.ended and not record.abandoned
             and not record.is_repeated and (not in_touch or is_undisturbed(fleet, record, record.sent))]
    versions = {record.stream_id: targets.versions_of(record.answer)[0] for record in fleet.callers.records if targets.versions_of(record.answer)}
    taken_up = defaultdict(bool)
    for record in ended:
        if record.resumes and is_serving(fleet, versions.get(record.resumes, ""), record):
            taken_up[record.resumes] |= went_on(record)
    new = [record for record in ended if not record.resumes]
    return sum(taken_up.values()), len(taken_up), sum(record.events() > 0 for record in new), len(new)


def stream_summary(fleet) -> str:
    within, over_attempts = streams_of_several_versions(fleet)
    parts = [f"of several versions: {len(within)} in one answer, {len(over_attempts)} over attempts"]
    for where, in_touch in (("anywhere", False), ("in touch", True)):
        resumed, taken_up, began, new = resumption_counts(fleet, in_touch)
        parts.append(f"{where}: {resumed} of {taken_up} taken up went on, {began} of {new} new ones began")
    return "; ".join(parts)


def check_versions(fleet) -> list[str]:
    """A stream goes on only at the version that began it, and nearly as often as new ones begin."""
    found = []
    within, over_attempts = streams_of_several_versions(fleet)
    if within or over_attempts:
        found.append(f"ORDER: streams hold events of several versions, {len(within)} in one answer, {len(over_attempts)} over attempts: "
                     f"{sorted(within | over_attempts)[:3]}")
    resumed, taken_up, began, new = resumption_counts(fleet, in_touch=True)
    # Only streams that callers name are promised to go on.
    if fleet.callers.names_streams and taken_up >= FEWEST_RESUMPTIONS and new and resumed / taken_up < RESUMPTION_FRACTION * began / new:
        found.append(f"LOST: {resumed} of {taken_up} streams that were taken up went on, {began} of {new} new ones began")
    return found


def check_cuts(fleet) -> list[str]:
    """Compares the requests at daemons that are cut off from all targets with those at the others."""
    found = []
    for cut, began, ended in fleet.cuts:
        others_cut = {index for other, other_began, other_ended in fleet.cuts if other_began < ended and began < other_ended for index in other}
        records = [record for record in fleet.callers.records if began + CUT_BOUND <= record.sent <= ended and not record.abandoned
                   and record.ended and not record.is_repeated and is_undisturbed(fleet, record, record.sent)]
        there = [record for record in records if record.daemon in cut]
        elsewhere = [record for record in records if record.daemon not in others_cut]
        served_there, served_elsewhere = (sum(record.status == 200 and record.complete for record in group) for group in (there, elsewhere))
        failed = len(there) - served_there
        if not there or not elsewhere or failed <= CUT_FAILURES + CUT_FAILURE_FRACTION * (len(there) + len(elsewhere)):
            continue
        if served_there / len(there) < CUT_FRACTION * served_elsewhere / len(elsewhere):
            found.append(f"RECOVER at {began - fleet.started:.1f} s: daemons {sorted(cut)}, cut off from all targets, served {served_there} of "
                         f"{len(there)} requests, the others {served_elsewhere} of {len(elsewhere)}")
    return found


def check_falls(fleet) -> list[str]:
    """Counts the targets that crashed because they had to reject too many requests while they said that they were brittle."""
    found = []
    for service, began, ended in fleet.brittle_times:
        brittle = [target for target in fleet.targets if target.service == service]
        falls = [at for target in brittle for _, at in target.falls if began <= at <= ended]
        if len(falls) > MOST_FALLS + FALL_FRACTION * len(brittle):
            found.append(f"LIMIT: {len(falls)} falls of {len(brittle)} brittle targets of {service} from {began - fleet.started:.1f} s on")
    return found


def check_accusations(fleet) -> list[str]:
    """A daemon must not take a target for crashed whose address it doesn't reach."""
    crashed = set().union(*(target.crashed_ids for target in fleet.targets))
    counts = Counter(accusation for accusation in fleet.accusations if accusation[1] not in crashed)
    return [f"ACCUSED {target} by vm-{index}, {count} times; it never crashed" for (index, target), count in sorted(counts.items())]


def check_recovery(fleet) -> list[str]:
    last = [record for record in fleet.callers.records if record.sent > fleet.recovered_at and not record.abandoned
            and record.key in fleet.keys and record.ended]
    served = sum(record.status == 200 and record.complete for record in last)
    if last and served >= MIN_SERVED_AFTER_RECOVERY * len(last):
        return []
    return [f"RECOVER: {served} of {len(last)} served after all faults had ended"]
