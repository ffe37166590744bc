"""Each finding of the soak is shown to be found, and a clean record to have none."""

import pathlib
import sys
import unittest
from collections import defaultdict
from dataclasses import replace
from types import SimpleNamespace

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import callers
import daemons
import targets
import verdict

SENT, REVOKED, LEFT = 10.0, 2.0, 2.0


def request(kind: str, **changes) -> callers.Seen:
    path = callers.KINDS[kind]
    seen = callers.Seen("id-" + kind, kind, f"POST {path}1 HTTP/1.1", b"body", "key-a", 1, SENT, status=200,
                        signature=targets.signature("id-" + kind), whole=True, ended=SENT + 1)
    seen.answer = callers.expected_answer(seen)
    return replace(seen, **changes)


def run_of(seen: callers.Seen, **changes) -> targets.Run:
    service = verdict.SERVICES[seen.line.split(" ")[1][:3]]
    return replace(targets.Run(seen.request_id, seen.line, seen.body, service, "t1", "customer", SENT), **changes)


def findings(seen: list, runs: list, **changes) -> list[str]:
    bench = SimpleNamespace(callers=SimpleNamespace(seen=seen), runs=runs, revoked={}, left={}, stops=[], evacuations=[], arrivals=[], started=0.0,
                            harms=defaultdict(list), keys=["key-a"], calm_from=0.0)
    vars(bench).update(changes)
    return [line.split(" ")[0].rstrip(":") for line in verdict.findings(bench)]


class VerdictTest(unittest.TestCase):
    def test_a_clean_record_has_no_finding(self):
        seen = [request(kind) for kind in callers.KINDS]
        self.assertEqual(findings(seen, [run_of(each) for each in seen]), [])

    def test_what_nobody_sent_or_was_changed_is_found(self):
        seen = request("unsafe")
        self.assertEqual(findings([seen], [run_of(seen), run_of(seen, request_id="other")]), ["UNASKED"])
        self.assertEqual(findings([seen], [run_of(seen, body=b"more")]), ["UNASKED"])
        self.assertEqual(findings([seen], [run_of(seen, customer="someone")]), ["UNASKED"])
        self.assertEqual(findings([seen], [run_of(seen, service="streams")]), ["ROUTE"])

    def test_repeats_count_against_the_requests_for_their_service(self):
        """Rejected sends count, a request's first arrival doesn't, and old ones leave the window."""
        seen = [request("safe", request_id=f"r{number}", status=0, gave_up=True) for number in range(99)]
        seen.append(request("safe"))
        allowed = int(daemons.RETRY_RATIO * len(seen)) + daemons.RETRY_SLACK

        def arrivals(repeats: int, service: str, request_id: str = "r1", at: float = SENT) -> list:
            return [targets.Arrival(request_id, service, at)] * (repeats + 1)

        self.assertEqual(findings(seen, [], arrivals=arrivals(allowed, "plain")), [])
        self.assertEqual(findings(seen, [], arrivals=arrivals(allowed + 1, "plain")), ["BUDGET"])
        self.assertEqual(findings(seen, [], arrivals=arrivals(daemons.RETRY_SLACK + 1, "streams")), ["BUDGET"])
        apart = arrivals(allowed, "plain") + arrivals(allowed, "plain", "r2", SENT + daemons.RETRY_WINDOW)
        self.assertEqual(findings(seen, [], arrivals=apart), [])

    def test_a_second_run_counts_only_where_one_is_allowed(self):
        for kind, expected in (("unsafe", ["TWICE"]), ("single", ["TWICE"]), ("safe", []), ("resumable", [])):
            seen = request(kind)
            self.assertEqual(findings([seen], [run_of(seen), run_of(seen, target="t2")]), expected)

    def test_a_refusal_of_what_ran_is_found(self):
        refused = request("unsafe", status=503, signature="", answer=b"")
        self.assertEqual(findings([refused], [run_of(refused)], calm_from=99.0), ["REFUSED", "RECOVER"])

    def test_a_request_at_an_evacuated_target_is_found(self):
        seen = request("safe")
        run = run_of(seen, zone="z1")
        self.assertEqual(findings([seen], [run], evacuations=[("z1", LEFT, SENT + 5)]), ["EVAC"])
        self.assertEqual(findings([seen], [run], evacuations=[("z2", LEFT, SENT + 5)]), [])
        self.assertEqual(findings([seen], [run], evacuations=[("z1", SENT - 1, SENT + 5)]), [])
        self.assertEqual(findings([seen], [run], evacuations=[("z1", LEFT, SENT - 1)]), [])

    def test_a_cold_target_that_gets_too_many_is_found(self):
        seen = [request("safe", request_id=f"id-{number}") for number in range(targets.COLD_BOUND + 1)]
        for each in seen:
            each.signature = targets.signature(each.request_id)
            each.answer = callers.expected_answer(each)
        runs = [run_of(each, is_cold=True) for each in seen]
        self.assertEqual(findings(seen, runs), ["FAILBACK"])
        self.assertEqual(findings(seen[1:], runs[1:]), [])
        self.assertEqual(findings(seen, [replace(run, is_cold=False) for run in runs]), [])

    def test_a_wrong_answer_is_found(self):
        seen = request("safe")
        self.assertEqual(findings([replace(seen, answer=seen.answer[:-1] + b"!")], []), ["MIXED", "ORDER"])
        self.assertEqual(findings([replace(seen, signature="x")], []), ["MIXED"])
        stream = request("resumable")
        self.assertEqual(findings([replace(stream, answer=stream.answer[:20])], []), ["MIXED"])
        self.assertEqual(findings([seen, replace(stream, answer=stream.answer[:20], whole=False)], [],
                                  calm_from=SENT + 1), ["RECOVER"])

    def test_late_leavings_and_keys_count_at_calm_daemons_only(self):
        seen = request("unsafe")
        runs = [run_of(seen)]
        self.assertEqual(findings([seen], runs, left={"t1": LEFT}), ["DRAIN"])
        self.assertEqual(findings([seen], runs, revoked={"key-a": REVOKED}), ["CONFIG"])
        harmed = defaultdict(list, {1: [SENT - 1]})
        self.assertEqual(findings([seen], runs, left={"t1": LEFT}, revoked={"key-a": REVOKED}, harms=harmed), [])
        self.assertEqual(findings([seen], runs, left={"t1": SENT - 1}), [])

    def test_a_stop_without_success_is_found(self):
        seen = request("safe")
        self.assertEqual(findings([seen], [run_of(seen)], stops=[(1, 0), (2, -9)]), ["STOP"])


if __name__ == "__main__":
    unittest.main()
