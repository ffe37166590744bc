"""All processes are killed at once; two of the three machines that the settings name as seeds don't come back.

The rule RECOVER is checked: what is served later than RecoveryS after the other machines are back.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "parts-2"))
import deployment as d  # noqa: E402
import http1  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS, SEEDS, LOST_MACHINES = 6, [1, 2, 3], (1, 2)
RUNNERS, SLOTS, WORK = 3, 14, 0.05
REQUESTERS, PAUSE, QUIET_SECONDS, DOWN_SECONDS = 30, 0.3, 6.0, 1.5
# Bound of the rule, and how long the requests are counted after it, as after the final faults of the bench's days.
RECOVERY_SECONDS, COUNTED_SECONDS = 12.0, 4.0
TENANT = {"Name": "t1", "ApiKeys": ["key-1"], "RatePerS": 36000, "BurstSize": 36000, "Unit": "tokens", "PlainTokens": 200}


class Runner:
    def __init__(self, site, number):
        self.site, self.ip, self.port = site, f"127.{site.net}.3.{number}", site.base + 30
        self.id, self.zone, self.runs = f"i-{number}", d.ZONES[number % 3], 0

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)
        await self.site.store.put(f"servers/{self.id}", {
            "Service": "app", "Address": f"{self.ip}:{self.port}", "Zone": self.zone, "Version": "v1", "Slots": SLOTS,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await http1.read_head(reader)
                await http1.read_body(reader, head)
                request_id = head.headers.get("request-id", "")
                self.runs += 1
                self.site.record.line(f"runner {self.id}: runs {request_id}")
                await asyncio.sleep(WORK)
                writer.write(http1.message("HTTP/1.1 200 OK", {"Request-Id": request_id, "Response-Signature": d.signature(request_id)},
                                           f"answer {request_id}".encode()))
                await writer.drain()
        except (http1.Broken, OSError):
            pass
        finally:
            writer.close()


async def resolve(site):
    """Asks up to three daemons where to connect, with a second for each, as the pages say."""
    for daemon in random.sample(site.daemons, 3):
        try:
            return await asyncio.wait_for(ask(site, daemon), 1)
        except (http1.Broken, OSError, TimeoutError):
            continue
    return []


async def ask(site, daemon):
    reader, writer = await asyncio.open_connection(daemon.ip, site.base + 3)
    try:
        writer.write(http1.message(f"GET /-/resolve?Name={d.HOST}&Region=r&Zone={random.choice(d.ZONES)} HTTP/1.1", {"Host": d.HOST}))
        head = await http1.read_head(reader)
        body = await http1.read_body(reader, head)
        if head.status != 200:
            raise http1.Broken
        return json.loads(body)["Addresses"]
    finally:
        writer.close()


async def request(site, results):
    """One request on a new channel; notes when it was sent, and its status."""
    sent, request_id, status, writer = time.monotonic(), d.new_id(), 0, None
    try:
        addresses = await resolve(site)
        if addresses:
            ip, port = random.choice(addresses).split(":")
            sent = time.monotonic()
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(http1.message("POST /app/1 HTTP/1.1", {
                "Host": d.HOST, "Request-Id": request_id, "Request-Deadline": "3000", "Authorization": "Bearer key-1"}, b"text"))
            head = await asyncio.wait_for(http1.read_head(reader), 3)
            body = await http1.read_body(reader, head)
            status = head.status if head.status != 200 or body == f"answer {request_id}".encode() else -1
    except (http1.Broken, OSError, TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    site.record.line(f"requester: {request_id} sent {sent - site.record.started:.3f} answered {status}")
    results.append((sent, status))


async def use(site, results, until):
    while time.monotonic() < until():
        await asyncio.sleep(random.uniform(0, 2 * PAUSE))
        await request(site, results)


async def play():
    site = d.Site(FOLDER, DAEMONS, SEEDS)
    results, end = [], [time.monotonic() + 1000]
    try:
        for number in range(1, RUNNERS + 1):
            await Runner(site, number).start()
        routes = [d.route("app", "/app/", "app", "non_idempotent", MaxAttempts=1)]
        await site.set_up(d.configuration(3, routes, [{"Name": "app"}], [TENANT]))
        await asyncio.sleep(2)
        requesters = [asyncio.create_task(use(site, results, lambda: end[0])) for _ in range(REQUESTERS)]
        await asyncio.sleep(QUIET_SECONDS)
        fault = time.monotonic()
        if TROUBLE:
            site.record.line("all processes are killed")
            await asyncio.gather(*(daemon.kill() for daemon in site.daemons))
            await asyncio.sleep(DOWN_SECONDS)
            for daemon in site.daemons:
                if daemon.index not in LOST_MACHINES:
                    await daemon.start()
            site.record.line(f"machines {[daemon.index for daemon in site.daemons if daemon.index not in LOST_MACHINES]} are back")
        back = time.monotonic()
        end[0] = back + RECOVERY_SECONDS + COUNTED_SECONDS
        await asyncio.gather(*requesters)
    finally:
        await site.end()
    before = [status for sent, status in results if sent < fault]
    after = [status for sent, status in results if sent > back + RECOVERY_SECONDS]
    share = [sum(status == 200 for status in statuses) / max(len(statuses), 1) for statuses in (before, after)]
    summary = (f"served before the fault {share[0]:.2f} of {len(before)}; later than {RECOVERY_SECONDS:.0f} s after the machines were back "
               f"{share[1]:.2f} of {len(after)}, by status {dict(collections.Counter(after))}")
    site.record.line(summary)
    print(summary)
    if share[0] < 0.25 or len(after) < 50:
        return 2
    return 1 if share[1] < 0.25 else 0


sys.exit(asyncio.run(play()))
