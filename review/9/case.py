"""A rolling release: the servers of the older software drain one after the other and leave.

Streams that the first of them cuts when it exits are not taken up at the two others of its software, which still
serve.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins as s  # noqa: E402

ZONES = {"north-a": "north"}
ENTRIES = ["127.0.131.1", "127.0.131.2"]
SERVERS = {"i-1a": ("127.0.132.1", "1"), "i-1b": ("127.0.132.2", "1"), "i-1c": ("127.0.132.3", "1"),
           "i-2a": ("127.0.132.4", "2"), "i-2b": ("127.0.132.5", "2"), "i-2c": ("127.0.132.6", "2")}
STORE = "127.0.133.1"
SLOTS = 32
STREAMS = 96
EVENTS = 90
EVENT_S = 0.1
DEADLINE_MS = 15000
# `release`: half of the servers are replaced, one at a time, one a second; a server drains for `drainMs` and a bit.
GAP_S = 1.0
DRAIN_S = 3.2
TAKE_UP_S = 0.05


class Server(s.HttpServer):
    def __init__(self, record, store, identity, host, port, version):
        super().__init__(host, port)
        self.record = record
        self.identity = identity
        self.version = version
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.registration = s.Registration(store, identity, self.describe)

    def describe(self):
        return {"service": "desk", "address": self.address, "zone": "north-a", "version": self.version, "slots": SLOTS,
                "state": self.state, "coldMs": 0, "born": self.born}

    def drops_work(self):
        return True

    async def handle(self, request, exchange):
        attempt = request.header("x-samphiretray-attempt-id")
        named = request.header("x-samphiretray-expect-instance")
        headers = {"x-samphiretray-attempt-id": attempt, "connection": "close",
                   "x-samphiretray-server-load": f"{self.running},0,{SLOTS}"}
        if self.state == "draining":
            headers["server-leaving"] = "1"
        exchange.keep = False
        if named and named != self.identity:
            exchange.send(421, {**headers, "x-samphiretray-not-executed": "1"})
            return
        if self.running >= SLOTS:
            exchange.send(503, {**headers, "x-samphiretray-not-executed": "1"})
            return
        first = int(request.header("last-event-id") or "0") + 1
        self.record.add("run_begins", attempt=attempt, server=self.identity, software=self.version, first_event=first)
        self.running += 1
        try:
            exchange.start_chunked(200, {**headers, "x-samphiretray-server-seal": f"{self.identity}.{attempt}",
                                         "content-type": "text/event-stream"})
            for number in range(first, EVENTS + 1):
                exchange.write_chunk(f"id: {number}\ndata: software={self.version} event={number}\n\n".encode())
                await asyncio.sleep(EVENT_S)
            exchange.end_chunked()
        finally:
            self.running -= 1

    def drain(self):
        """Reports that it leaves; returns the time of the acknowledgement."""
        self.state = "draining"
        self.registration.beat()
        self.record.add("server_draining", server=self.identity, running=self.running)

    def leave(self):
        self.record.add("server_exits", server=self.identity, running=self.running)
        self.registration.is_up = False
        self.registration.store.remove(self.registration.key)
        self.crash()


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "drafts", "hostname": "desk.example", "prefix": "/d/", "kind": "streaming",
                    "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 1, "service": "desk",
                    "maxAttempts": 2, "public": False, "sticky": False, "resumable": True, "targetGapMs": 300}],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "coop", "apiKeys": ["key-of-coop"], "priority": 1, "unit": "token_metered",
                     "plainTokens": 200, "ratePerS": 83540, "burst": 83540}],
    }


class Client:
    """Begins one stream, and takes it up once if it is broken off."""

    def __init__(self, number):
        self.number = number
        self.events = []
        self.begun_at = None
        self.taken_up_at = None
        self.gone_on_with = 0

    def on_event(self, event):
        self.begun_at = self.begun_at or time.monotonic()
        self.events.append(int(event.split("\n")[0].split(": ")[1]))

    async def ask(self, record, fleet, host, resumes):
        attempt = f"{self.number:04x}{os.urandom(4).hex()}"
        headers = {"host": "desk.example", "x-samphiretray-attempt-id": attempt,
                   "x-samphiretray-deadline-ms": str(DEADLINE_MS), "x-samphiretray-credential": "key-of-coop"}
        if resumes:
            headers.update({"last-event-id": str(self.events[-1]), "resumes": resumes})
        record.add("sent", stream=self.number, attempt=attempt, entry=host, resumes=resumes)
        answer = await s.call_stream(host, fleet.ports["front"], f"/d/{self.number}", headers,
                                     body=b"draft %d" % self.number, on_event=self.on_event)
        record.add("answered", stream=self.number, attempt=attempt, status=answer.status, events=len(answer.events),
                   complete=answer.complete, retry_after=answer.headers.get("retry-after", ""))
        return attempt, answer

    async def run(self, record, fleet):
        attempt, answer = await self.ask(record, fleet, ENTRIES[self.number % 2], "")
        if answer.complete or not self.events:
            return
        await asyncio.sleep(TAKE_UP_S)
        self.taken_up_at = time.monotonic()
        _, answer = await self.ask(record, fleet, ENTRIES[(self.number + 1) % 2], attempt)
        self.gone_on_with = len(answer.events)


async def main(record, trouble):
    store = s.Store(STORE, s.free_port([STORE]))
    await store.listen()
    tasks = [asyncio.ensure_future(store.keep_time())]
    fleet = s.Fleet(record, store.address, ZONES)
    fleet.choose_ports(ENTRIES)
    port = s.free_port([host for host, _ in SERVERS.values()])
    servers = {identity: Server(record, store, identity, host, port, version)
               for identity, (host, version) in SERVERS.items()}
    try:
        store.put("op/config", configuration())
        for server in servers.values():
            await server.listen()
            tasks.append(asyncio.ensure_future(server.registration.run()))
        for index, host in enumerate(ENTRIES):
            fleet.start(f"front-{index}", "gateway", fleet.entry_settings(f"front-{index}", host, "north-a"))
        if not await s.wait_until_ready(fleet, ENTRIES):
            return s.CANNOT_RUN
        await asyncio.sleep(5.0)
        clients = [Client(number) for number in range(STREAMS)]
        runs = [asyncio.ensure_future(each.run(record, fleet)) for each in clients]
        await asyncio.sleep(1.0)
        leaving = [servers["i-1a"], servers["i-1b"], servers["i-1c"]] if trouble else []
        began = time.monotonic()
        steps = sorted([(number * GAP_S, each.drain) for number, each in enumerate(leaving)] +
                       [(number * GAP_S + DRAIN_S, each.leave) for number, each in enumerate(leaving)],
                       key=lambda step: step[0])
        later, second_exit = [], began + GAP_S + DRAIN_S
        for at, step in steps:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            step()
            if not later and at >= DRAIN_S:
                later = [Client(number) for number in range(STREAMS, STREAMS + 20)]
                runs += [asyncio.ensure_future(each.run(record, fleet)) for each in later]
        await asyncio.gather(*runs)
        # While the two others of the software still serve.
        counted = [each for each in clients if each.taken_up_at and each.taken_up_at < second_exit]
        gone_on = sum(each.gone_on_with > 0 for each in counted)
        new_begun = sum(each.begun_at is not None for each in later)
        record.add("result", streams=STREAMS, whole=sum(each.events == list(range(1, EVENTS + 1)) for each in clients),
                   taken_up_while_two_serve=len(counted), gone_on=gone_on, new_streams=len(later), new_begun=new_begun,
                   ended_processes=fleet.ended())
        if trouble and (len(counted) < 12 or not later):
            return s.CANNOT_RUN
        if not trouble:
            return s.HOLDS if all(each.events == list(range(1, EVENTS + 1)) for each in clients) else s.BROKEN
        return s.BROKEN if gone_on / len(counted) < 0.5 * new_begun / len(later) else s.HOLDS
    finally:
        fleet.close()
        for task in tasks:
            task.cancel()


s.run_case(FOLDER, main)
