"""A new version of an adapter is announced while requests for it wait at a busy model server.

The agent fixes the version of a request when the request arrives, so it begins on the older version however
long it has waited.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins as s  # noqa: E402

ZONES = {"schelde-a": "schelde"}
ENTRY = "127.0.51.1"
MACHINE = "127.0.52.1"
STORE = "127.0.53.1"
MODEL = "base7"
ADAPTER = "a1"
SLOTS = 8
# As for the routine bulletins of Peilnet: aim 2 s, deadline 8 s; the bound `version_ms` is 5 s.
TARGET_MS = 2000
DEADLINE_MS = 8000
VERSION_MS = 5000
EVENT_S = 0.1
LONG_EVENTS = 70
SHORT_EVENTS = 7
WAITING = 4


class Engine(s.HttpServer):
    """A model server with `SLOTS` places that lists, loads and replaces versions of adapters."""

    def __init__(self, record, store, host, port):
        super().__init__(host, port)
        self.record = record
        self.store = store
        self.identity = "i-engine"
        self.born = int(time.time() * 1000)
        self.registration = s.Registration(store, self.identity, self.describe)
        self.adapters = {}
        self.pending = {}
        self.sequence = 0
        self.highest_fence = 0
        self.running = {}
        self.newest = {}
        self.late_begins = []

    def models(self):
        return [{"name": MODEL, "version": 1, "adapters": [f"{a}@{v}" for a, v in self.adapters.items()]}]

    def describe(self):
        return {"service": "assist", "address": self.address, "zone": "schelde-a", "version": "1", "slots": SLOTS,
                "state": "ready", "coldMs": 0, "stage": "both", "models": self.models(), "born": self.born}

    def drops_work(self):
        return True

    async def handle(self, request, exchange):
        if request.path == "/v1/report":
            exchange.send(200, body={
                "stage": "both", "models": self.models(), "busy": False, "seq": self.sequence, "queued": 0,
                "running": sum(self.running.values()), "kvUsed": 0, "kvTotal": 190000, "handles": 0, "state": "ready",
                "born": self.born, "pending": [f"{MODEL}/{a}@{v}" for a, v in self.pending.items()]})
        elif request.path == "/v1/order":
            self.on_order(s.json.loads(request.body), exchange)
        else:
            await self.run(request, exchange)

    def on_order(self, order, exchange):
        adapter = order.get("adapter", "")
        self.record.add("order", order=order)
        version = order.get("version", self.newest.get(adapter, (1,))[0])
        if order["fencingToken"] < self.highest_fence:
            exchange.send(412)
        elif order.get("precondition", self.sequence) != self.sequence:
            exchange.send(409)
        elif order["operation"] == "unload":
            self.highest_fence = order["fencingToken"]
            self.sequence += 1
            self.adapters.pop(adapter, None)
            exchange.send(200, body={})
        elif self.adapters.get(adapter) == version:
            exchange.send(200, body={})
        else:
            self.highest_fence = order["fencingToken"]
            self.sequence += 1
            self.pending[adapter] = version
            asyncio.ensure_future(self.load(adapter, version))
            exchange.send(202, body={})

    async def load(self, adapter, version):
        await asyncio.sleep(0.25)
        # A replacement waits for the runs of the version that it replaces.
        while self.running.get(adapter, 0) > 0:
            await asyncio.sleep(0.02)
        self.pending.pop(adapter, None)
        self.adapters[adapter] = version

    async def run(self, request, exchange):
        attempt = request.header("x-samphiretray-attempt-id")
        headers = {"x-samphiretray-attempt-id": attempt, "connection": "close"}
        exchange.keep = False
        named = request.header("x-samphiretray-expect-instance")
        expected = request.header("x-samphiretray-expect-version")
        adapter = request.header("x-samphiretray-model").partition("/")[2]
        version = self.adapters.get(adapter)
        refusal = {**headers, "x-samphiretray-not-executed": "1"}
        if (named and named != self.identity) or version is None or (expected and int(expected) != version):
            exchange.send(421, refusal)
            return
        if sum(self.running.values()) >= SLOTS:
            exchange.send(503, refusal)
            return
        self.running[adapter] = self.running.get(adapter, 0) + 1
        try:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            newest, acknowledged = self.newest.get(adapter, (1, now))
            lag_ms = round((now - acknowledged) * 1000)
            self.record.add("run_begins", attempt=attempt, adapter=adapter, version=version, newest=newest,
                            ms_since_newest_was_acknowledged=lag_ms, expect_version=expected)
            if version < newest and lag_ms > VERSION_MS:
                self.late_begins.append(attempt)
            exchange.start_chunked(200, {**headers, "x-samphiretray-server-seal": f"{self.identity}.{attempt}",
                                         "content-type": "text/event-stream",
                                         "x-samphiretray-weight-versions": str(version)})
            count = int(request.body.decode().split(" ")[1])
            for number in range(1, count + 1):
                exchange.write_chunk(f"id: {number}\ndata: version={version} event={number}\n\n".encode())
                await asyncio.sleep(EVENT_S)
            exchange.end_chunked()
        finally:
            self.running[adapter] -= 1

    def announce(self, adapter, version):
        acknowledged = self.store.put(f"op/version/{MODEL}.{adapter}",
                                      {"model": MODEL, "adapter": adapter, "version": version})
        self.newest[adapter] = (version, acknowledged)
        self.record.add("version_announced", adapter=adapter, version=version)


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "bulletins", "hostname": "assist.example", "prefix": "/d/", "kind": "streaming",
                    "timeoutMs": DEADLINE_MS, "targetLatencyMs": TARGET_MS, "priority": 1, "service": "assist",
                    "maxAttempts": 1, "public": False, "sticky": True, "resumable": False, "targetGapMs": 400}],
        "services": [{
            "name": "assist", "healthPath": "/healthz", "maxConnections": 500, "protocol": "h1", "tls": False,
            "engine": {"slots": SLOTS, "kvCapacityTokens": 191783, "kvTokenBytes": 131072, "linkMbps": 1100000.0,
                       "migrations": True, "backups": True, "stride": 5, "cap": 12, "hostMb": 63000.0,
                       "diskMb": 190000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                       "models": [{"name": MODEL, "weightsMb": 34300.0, "loadTimeS": 1.3, "adapters": 3000,
                                   "adapterMb": 40.0, "warmS": 0.39, "diskS": 0.52}],
                       "weightsMb": 35300.0, "adapterSlots": 8, "loadsPerS": 2.1}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "locks", "apiKeys": ["key-of-locks"], "priority": 1, "unit": "token_metered",
                     "plainTokens": 200, "ratePerS": 83540, "burst": 83540}],
    }


async def ask(record, fleet, number, events, results):
    attempt = f"{number:04x}{os.urandom(4).hex()}"
    headers = {"host": "assist.example", "x-samphiretray-attempt-id": attempt,
               "x-samphiretray-deadline-ms": str(DEADLINE_MS), "x-samphiretray-credential": "key-of-locks",
               "x-samphiretray-model": f"{MODEL}/{ADAPTER}", "x-samphiretray-token-count": "400,200",
               "x-samphiretray-prompt-prefix": f"5c1e07a2:300,{number:08x}:100"}
    record.add("sent", attempt=attempt, events=events)
    answer = await s.call_stream(ENTRY, fleet.ports["front"], "/d/1", headers, body=b"bulletin %d" % events)
    record.add("answered", attempt=attempt, status=answer.status, events=len(answer.events), complete=answer.complete)
    results.append(answer)


async def main(record, trouble):
    store = s.Store(STORE, s.free_port([STORE]))
    await store.listen()
    tasks = [asyncio.ensure_future(store.keep_time())]
    fleet = s.Fleet(record, store.address, ZONES)
    fleet.choose_ports([ENTRY, MACHINE])
    engine = Engine(record, store, MACHINE, s.free_port([MACHINE]))
    try:
        store.put("op/config", configuration())
        await engine.listen()
        tasks.append(asyncio.ensure_future(engine.registration.run()))
        fleet.start("side-1", "engine-agent", fleet.agent_settings("side-1", MACHINE, "schelde-a", engine.address, "assist"))
        fleet.start("front-1", "gateway", fleet.entry_settings("front-1", ENTRY, "schelde-a"))
        if not await s.wait_until_ready(fleet, [ENTRY]):
            return s.CANNOT_RUN
        await asyncio.sleep(6.0)
        results = []
        clients = []
        for number in range(SLOTS):
            clients.append(asyncio.ensure_future(ask(record, fleet, number, LONG_EVENTS, results)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.6)
        for number in range(SLOTS, SLOTS + WAITING):
            clients.append(asyncio.ensure_future(ask(record, fleet, number, SHORT_EVENTS, results)))
            await asyncio.sleep(0.05)
        if trouble:
            engine.announce(ADAPTER, 2)
        await asyncio.gather(*clients)
        record.add("result", sent=len(results), answered_whole=sum(each.status == 200 and each.complete for each in results),
                   began_on_an_older_version_too_late=engine.late_begins, ended_processes=fleet.ended())
        if not any(each.complete and each.status == 200 for each in results):
            return s.CANNOT_RUN
        return s.BROKEN if engine.late_begins else s.HOLDS
    finally:
        fleet.close()
        for task in tasks:
            task.cancel()


s.run_case(FOLDER, main)
