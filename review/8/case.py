"""Rare adapters are asked for at once, more of them than the memory for weights holds.

The agent counts only places for adapters, so it orders one adapter after the other until the server crashes.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins as s  # noqa: E402

ZONES = {"north-a": "north"}
ENTRY = "127.0.41.1"
MACHINE = "127.0.42.1"
STORE = "127.0.43.1"
MODEL = "base7"
BASE_MB = 34300
ADAPTER_MB = 150
WEIGHTS_MB = 35300
ADAPTER_SLOTS = 8
EVENTS = 40
EVENT_S = 0.1
DEADLINE_MS = 8000
# One of them is asked for all the time; the others are the rare ones.
USUAL = ["a1", "a2", "a3"]
RARE = ["a101", "a102", "a103", "a104", "a105", "a106"]


class Engine(s.HttpServer):
    """A model server: loads adapters as ordered, and crashes if ordered to load more than it can hold."""

    def __init__(self, record, store, host, port):
        super().__init__(host, port)
        self.record = record
        self.identity = "i-engine"
        self.registration = s.Registration(store, self.identity, self.describe)
        self.breaches = []
        self.cut_runs = 0
        self.running = 0
        self.reset()
        self.has_model = True

    def reset(self):
        self.born = int(time.time() * 1000)
        self.adapters = []
        self.pending = []
        self.sequence = 0
        self.highest_fence = 0
        self.has_model = False

    def used_mb(self):
        return (BASE_MB if self.has_model else 0) + ADAPTER_MB * (len(self.adapters) + len(self.pending))

    def models(self):
        return [{"name": MODEL, "version": 1, "adapters": [f"{each}@1" for each in self.adapters]}] if self.has_model else []

    def describe(self):
        return {"service": "assist", "address": self.address, "zone": "north-a", "version": "1", "slots": 32,
                "state": "ready", "coldMs": 0, "stage": "both", "models": self.models(), "born": self.born}

    def drops_work(self):
        return True

    async def handle(self, request, exchange):
        if request.path == "/v1/report":
            exchange.send(200, body={
                "stage": "both", "models": self.models(), "busy": False, "seq": self.sequence, "queued": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 190000, "handles": 0, "state": "ready",
                "born": self.born, "pending": [f"{MODEL}/{each}@1" for each in self.pending]})
        elif request.path == "/v1/order":
            await self.on_order(s.json.loads(request.body), request, exchange)
        else:
            await self.run(request, exchange)

    async def on_order(self, order, request, exchange):
        adapter = order.get("adapter", "")
        named = request.header("x-samphiretray-expect-instance")
        self.record.add("order", order=order, weights_used_mb=self.used_mb(), weights_mb=WEIGHTS_MB,
                        adapters=self.adapters, pending=self.pending)
        if named and named != self.identity:
            exchange.send(421)
        elif "owner" not in order or "fencingToken" not in order:
            exchange.send(400)
        elif order["fencingToken"] < self.highest_fence:
            exchange.send(412)
        elif order.get("precondition", self.sequence) != self.sequence:
            exchange.send(409)
        elif order["operation"] == "unload":
            self.highest_fence = order["fencingToken"]
            self.sequence += 1
            self.adapters = [each for each in self.adapters if each != adapter]
            exchange.send(200, body={})
        elif not adapter:
            self.sequence += 1
            asyncio.get_running_loop().call_later(0.5, self.on_model_loaded, self.born)
            exchange.send(202, body={})
        elif adapter in self.adapters:
            exchange.send(200, body={})
        else:
            self.highest_fence = order["fencingToken"]
            self.sequence += 1
            held = len(self.adapters) + len(self.pending)
            if self.used_mb() + ADAPTER_MB > WEIGHTS_MB or held + 1 > ADAPTER_SLOTS:
                self.breaches.append(adapter)
                self.record.add("ordered_more_than_it_holds", adapter=adapter, would_need_mb=self.used_mb() + ADAPTER_MB,
                                weights_mb=WEIGHTS_MB, adapter_places_used=held + 1, adapter_places=ADAPTER_SLOTS,
                                requests_running=self.running)
                self.cut_runs += self.running
                asyncio.ensure_future(self.crash_and_return())
                return
            self.pending.append(adapter)
            asyncio.get_running_loop().call_later(0.25, self.on_loaded, adapter, self.born)
            exchange.send(202, body={})

    def on_model_loaded(self, born):
        self.has_model = self.has_model or born == self.born

    def on_loaded(self, adapter, born):
        if born == self.born and adapter in self.pending:
            self.pending.remove(adapter)
            self.adapters.append(adapter)

    async def crash_and_return(self):
        self.record.add("server_crashes", server=self.identity)
        self.registration.is_up = False
        self.crash()
        await asyncio.sleep(2.0)
        self.reset()
        await self.listen()
        self.registration.is_up = True
        self.registration.beat()
        self.record.add("server_back", server=self.identity)

    async def run(self, request, exchange):
        attempt = request.header("x-samphiretray-attempt-id")
        headers = {"x-samphiretray-attempt-id": attempt, "connection": "close"}
        exchange.keep = False
        named = request.header("x-samphiretray-expect-instance")
        adapter = request.header("x-samphiretray-model").partition("/")[2]
        if (named and named != self.identity) or not self.has_model or adapter not in self.adapters:
            exchange.send(421, {**headers, "x-samphiretray-not-executed": "1"})
            return
        self.record.add("run_begins", attempt=attempt, adapter=adapter)
        self.running += 1
        try:
            exchange.start_chunked(200, {**headers, "x-samphiretray-server-seal": f"{self.identity}.{attempt}",
                                         "content-type": "text/event-stream", "x-samphiretray-weight-versions": "1"})
            for number in range(1, EVENTS + 1):
                exchange.write_chunk(f"id: {number}\ndata: adapter={adapter} event={number}\n\n".encode())
                await asyncio.sleep(EVENT_S)
            exchange.end_chunked()
        finally:
            self.running -= 1


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "drafts", "hostname": "assist.example", "prefix": "/d/", "kind": "streaming",
                    "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 1, "service": "assist",
                    "maxAttempts": 1, "public": False, "sticky": True, "resumable": False, "targetGapMs": 300}],
        "services": [{
            "name": "assist", "healthPath": "/healthz", "maxConnections": 500, "protocol": "h1", "tls": False,
            "engine": {"slots": 96, "kvCapacityTokens": 191783, "kvTokenBytes": 131072, "linkMbps": 1100000.0,
                       "migrations": True, "backups": True, "stride": 5, "cap": 12, "hostMb": 63000.0,
                       "diskMb": 190000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                       "models": [{"name": MODEL, "weightsMb": float(BASE_MB), "loadTimeS": 1.3, "adapters": 3000,
                                   "adapterMb": float(ADAPTER_MB), "warmS": 0.39, "diskS": 0.52}],
                       "weightsMb": float(WEIGHTS_MB), "adapterSlots": ADAPTER_SLOTS, "loadsPerS": 2.1}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "coop", "apiKeys": ["key-of-coop"], "priority": 1, "unit": "token_metered",
                     "plainTokens": 200, "ratePerS": 83540, "burst": 83540}],
    }


async def ask(record, fleet, number, adapter, results):
    attempt = f"{number:04x}{os.urandom(4).hex()}"
    headers = {"host": "assist.example", "x-samphiretray-attempt-id": attempt,
               "x-samphiretray-deadline-ms": str(DEADLINE_MS), "x-samphiretray-credential": "key-of-coop",
               "x-samphiretray-model": f"{MODEL}/{adapter}", "x-samphiretray-token-count": "400,200",
               "x-samphiretray-prompt-prefix": f"5c1e07a2:300,{number:08x}:100"}
    record.add("sent", attempt=attempt, adapter=adapter)
    answer = await s.call_stream(ENTRY, fleet.ports["front"], "/d/1", headers, body=b"draft")
    record.add("answered", attempt=attempt, adapter=adapter, status=answer.status, events=len(answer.events),
               complete=answer.complete)
    results.append((adapter, answer.status, len(answer.events), answer.complete))


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
        fleet.start("side-1", "engine-agent", fleet.agent_settings("side-1", MACHINE, "north-a", engine.address, "assist"))
        fleet.start("front-1", "gateway", fleet.entry_settings("front-1", ENTRY, "north-a"))
        if not await s.wait_until_ready(fleet, [ENTRY]):
            return s.CANNOT_RUN
        await asyncio.sleep(2.0)
        results = []
        adapters = USUAL + (RARE if trouble else [])
        # The usual adapters are in use when the rare ones are asked for.
        clients = []
        for number, adapter in enumerate(adapters):
            clients.append(asyncio.ensure_future(ask(record, fleet, number, adapter, results)))
            await asyncio.sleep(0.6 if number + 1 == len(USUAL) else 0.1)
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
        whole = [adapter for adapter, status, events, complete in results if status == 200 and complete and events == EVENTS]
        record.add("result", sent=len(results), answered_whole=len(whole), orders_beyond_the_memory=engine.breaches,
                   runs_cut_by_the_crash=engine.cut_runs, ended_processes=fleet.ended())
        if not whole and not engine.breaches:
            return s.CANNOT_RUN
        return s.BROKEN if engine.breaches else s.HOLDS
    finally:
        fleet.close()
        for task in tasks:
            task.cancel()


s.run_case(FOLDER, main)
