"""A request that crashes its runners comes again from time to time, while all processes of the system are killed twice.

The rule BUDGET is checked: how often the request reaches runners after it has crashed the third, sent by machines in touch.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, run and answered, with the seconds since the start.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "parts-2"))
import deployment as d  # noqa: E402
import http1  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS, RUNNERS, SLOTS, WORK = 5, 9, 14, 0.05
DEADLY_BODY, CRASH_AFTER, BACK_AFTER = b"deadly", 0.05, 3.0
# The request comes again so often, and not while its machines have just started; kills of all processes, and how long they are down.
REPEAT_SECONDS, QUIET_AFTER_START, EPOCH_SECONDS, KILLS, DOWN_SECONDS = 0.9, 3.5, 6.2, 2, 1.0
# Other requests a second: the deadly one stays below a share of 0.03, and comes for less than 20 s, as in the users' letter.
OTHERS_PER_SECOND, LETTER_SHARE, LETTER_SECONDS = 60, 0.03, 20.0
ALLOWED_LATE = 3


class Runner:
    def __init__(self, site, number, sends):
        self.site, self.sends, self.ip, self.port = site, sends, f"127.{site.net}.3.{number}", site.base + 30
        self.number, self.starts, self.is_up, self.zone, self.writers = number, 0, False, d.ZONES[number % 3], set()

    @property
    def id(self):
        return f"i-{self.number}-{self.starts}"

    async def start(self):
        self.starts, self.is_up = self.starts + 1, True
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        await self.site.store.put(f"servers/{self.id}", {
            "Service": "app", "Address": f"{self.ip}:{self.port}", "Zone": self.zone, "Version": "v1", "Slots": SLOTS,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1})

    async def crash(self):
        if not self.is_up:
            return
        self.is_up, gone = False, self.id
        self.site.record.line(f"runner {gone}: crashed by the request")
        self.server.close()
        for writer in list(self.writers):
            http1.reset(writer)
        await asyncio.sleep(BACK_AFTER)
        await self.site.store.put(f"servers/{gone}", None)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.is_up:
                head = await http1.read_head(reader)
                body = await http1.read_body(reader, head)
                request_id = head.headers.get("request-id", "")
                if head.headers.get("expected-instance", self.id) != self.id:
                    writer.write(http1.message("HTTP/1.1 421 Other", {"Request-Id": request_id, "Not-Executed": "1"}))
                    continue
                if body == DEADLY_BODY:
                    sender = writer.get_extra_info("peername")[0]
                    daemon = self.site.daemons[int(sender.rsplit(".", 1)[1]) - 1]
                    self.sends.append((time.monotonic(), time.monotonic() - daemon.started_at))
                    self.site.record.line(f"runner {self.id}: runs the deadly request {request_id}, from {sender}")
                    await asyncio.sleep(CRASH_AFTER)
                    asyncio.ensure_future(self.crash())
                    return
                self.site.record.line(f"runner {self.id}: runs {request_id}")
                await asyncio.sleep(WORK)
                writer.write(http1.message("HTTP/1.1 200 OK", {"Request-Id": request_id, "Response-Signature": d.signature(request_id)},
                                           f"answer {request_id}".encode()))
                await writer.drain()
        except (http1.Broken, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(site, body, statuses):
    """One request on a new channel to any machine; a requester's second attempt has another id."""
    daemon, request_id, writer = random.choice(site.daemons), d.new_id(), None
    status, sent = "no answer", time.monotonic()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(daemon.ip, site.base), 1)
        writer.write(http1.message("POST /app/1 HTTP/1.1", {
            "Host": d.HOST, "Request-Id": request_id, "Request-Deadline": "3000", "Authorization": "Bearer key-1"}, body))
        head = await asyncio.wait_for(http1.read_head(reader), 4)
        await http1.read_body(reader, head)
        status = head.status
    except (http1.Broken, OSError, TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    kind = "deadly " if body == DEADLY_BODY else ""
    site.record.line(f"requester: {kind}{request_id} sent {sent - site.record.started:.3f} to daemon {daemon.index} answered {status}")
    statuses[body == DEADLY_BODY, status] += 1


async def send_others(site, statuses):
    while not site.is_over:
        await asyncio.sleep(random.uniform(0, 2 / OTHERS_PER_SECOND))
        asyncio.ensure_future(request(site, d.new_id().encode(), statuses))


async def play():
    site, sends, statuses, deadly = d.Site(RECORD, DAEMONS), [], collections.Counter(), []
    try:
        for number in range(1, RUNNERS + 1):
            await Runner(site, number, sends).start()
        routes = [d.route("app", "/app/", "app", "non_idempotent", MaxAttempts=1)]
        await site.set_up(d.configuration(3, routes, [{"Name": "app"}], [{"Name": "t1", "ApiKeys": ["key-1"]}]))
        others = asyncio.create_task(send_others(site, statuses))
        for epoch in range(KILLS + 1):
            started = time.monotonic()
            await asyncio.sleep(QUIET_AFTER_START)
            while time.monotonic() < started + EPOCH_SECONDS:
                deadly.append(time.monotonic())
                await request(site, DEADLY_BODY, statuses)
                await asyncio.sleep(REPEAT_SECONDS)
            if TROUBLE and epoch < KILLS:
                site.record.line("all processes are killed")
                await asyncio.gather(*(daemon.kill() for daemon in site.daemons))
                await asyncio.sleep(DOWN_SECONDS)
                for daemon in site.daemons:
                    await daemon.start()
        others.cancel()
    finally:
        await site.end()
    late = []
    if len(sends) >= 3:
        third = sends[2][0] + CRASH_AFTER
        # In touch: the sender's process had been running for StableWindowMs.
        late = [at for at, running in sends[3:] if at > third + d.STABLE_SECONDS and running > d.STABLE_SECONDS]
    share, span = len(deadly) / sum(statuses.values()), deadly[-1] - deadly[0]
    summary = (f"deadly requests: a share of {share:.3f} within {span:.1f} s; statuses {dict(sorted(statuses.items(), key=str))}; the deadly request reached runners {len(sends)} times, "
               f"{len(late)} of them later than {d.STABLE_SECONDS:.0f} s after it had crashed the third (allowed: {ALLOWED_LATE})")
    site.record.line(summary)
    print(summary)
    if not statuses[False, 200] or len(sends) < 2 or share > LETTER_SHARE or span > LETTER_SECONDS:
        return 2
    return 1 if len(late) > ALLOWED_LATE else 0


sys.exit(asyncio.run(play()))
