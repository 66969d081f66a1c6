"""Two parts of prompts crash engines, one after the other; then all processes are killed and started again.

The evidence that they read back does not say which parts have been found harmless. The beginnings that sound prompts
share with the crashing ones are blamed, and their requests are refused.
"""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins as s  # noqa: E402

ZONES = {"north-a": "north"}
ENTRIES = ["127.0.101.1", "127.0.101.2"]
MACHINES = [f"127.0.102.{number}" for number in range(1, 5)]
STORE = "127.0.103.1"
MODEL = "base7"
DEADLINE_MS = 5000
CONTACT_S = 4.0
EVENTS = 10
EVENT_S = 0.035
DOWN_S = 2.0
LOAD_S = 0.5
# The calm at the start, the first crashing part, a pause, the second one, the kill, and the end.
FIRST_AT, FIRST_UNTIL, SECOND_AT, KILL_AT, END_AT = 10.0, 16.0, 18.0, 25.0, 38.0
RESTART_S = 0.5
SOUND_PER_S = 40
CRASHING_PER_S = 2
# Most prompts have the first beginning, which the crashing ones don't have.
BEGINNINGS = {"5c1e07a2:90": 8, "71d3aa10:90": 1, "8b20c4f1:90": 1}
CRASHING = ["dead0001:400", "dead0002:400"]


class Engine(s.HttpServer):
    """A model server that crashes when it begins an answer on a crashing part."""

    def __init__(self, record, store, number, host, port):
        super().__init__(host, port)
        self.record = record
        self.identity = f"i-{number:02d}"
        self.registration = s.Registration(store, self.identity, self.describe)
        self.running = 0
        self.crashes = []
        self.start_again()
        self.has_model = True

    def start_again(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.has_model = False

    def models(self):
        return [{"name": MODEL, "version": 1, "adapters": []}] if self.has_model else []

    def describe(self):
        return {"service": "assist", "address": self.address, "zone": "north-a", "version": "1", "slots": 96,
                "state": "ready", "coldMs": 0, "stage": "both", "models": self.models(), "born": self.born}

    def drops_work(self):
        return True

    async def handle(self, request, exchange):
        if request.path == "/v1/report":
            exchange.send(200, body={
                "stage": "both", "models": self.models(), "busy": False, "seq": self.sequence, "queued": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 190000, "handles": 0, "state": "ready",
                "born": self.born, "pending": []})
        elif request.path == "/v1/order":
            order = s.json.loads(request.body)
            if order.get("precondition", self.sequence) != self.sequence:
                exchange.send(409)
                return
            self.sequence += 1
            asyncio.get_running_loop().call_later(LOAD_S, self.on_loaded, self.born)
            exchange.send(202, body={})
        else:
            await self.run(request, exchange)

    def on_loaded(self, born):
        self.has_model = self.has_model or born == self.born

    async def run(self, request, exchange):
        attempt = request.header("x-samphiretray-attempt-id")
        headers = {"x-samphiretray-attempt-id": attempt, "connection": "close"}
        exchange.keep = False
        named = request.header("x-samphiretray-expect-instance")
        if (named and named != self.identity) or not self.has_model:
            exchange.send(421, {**headers, "x-samphiretray-not-executed": "1"})
            return
        parts = request.header("x-samphiretray-prompt-prefix").split(",")
        self.running += 1
        try:
            await asyncio.sleep(0.12)
            crashing = [each for each in parts if each in CRASHING]
            if crashing:
                self.crashes.append((time.monotonic(), crashing[0]))
                self.record.add("engine_crashes", server=self.identity, part=crashing[0], attempt=attempt)
                asyncio.ensure_future(self.crash_and_return())
                await asyncio.sleep(1.0)
                return
            exchange.start_chunked(200, {**headers, "x-samphiretray-server-seal": f"{self.identity}.{attempt}",
                                         "content-type": "text/event-stream"})
            for number in range(1, EVENTS + 1):
                exchange.write_chunk(f"id: {number}\ndata: event={number}\n\n".encode())
                await asyncio.sleep(EVENT_S)
            exchange.end_chunked()
        finally:
            self.running -= 1

    async def crash_and_return(self):
        self.registration.is_up = False
        self.crash()
        await asyncio.sleep(DOWN_S)
        self.start_again()
        await self.listen()
        self.registration.is_up = True
        self.registration.beat()


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "assess", "hostname": "assist.example", "prefix": "/d/", "kind": "streaming",
                    "timeoutMs": DEADLINE_MS, "targetLatencyMs": 1000, "priority": 1, "service": "assist",
                    "maxAttempts": 1, "public": False, "sticky": True, "resumable": False, "targetGapMs": 300}],
        "services": [{
            "name": "assist", "healthPath": "/healthz", "maxConnections": 500, "protocol": "h1", "tls": False,
            "engine": {"slots": 96, "kvCapacityTokens": 191783, "kvTokenBytes": 131072, "linkMbps": 1100000.0,
                       "migrations": True, "backups": True, "stride": 5, "cap": 12, "hostMb": 63000.0,
                       "diskMb": 190000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                       "models": [{"name": MODEL, "weightsMb": 34300.0, "loadTimeS": 1.3, "adapters": 0,
                                   "adapterMb": 40.0, "warmS": 0.39, "diskS": 0.52}],
                       "weightsMb": 35300.0, "adapterSlots": 8, "loadsPerS": 2.1}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "coop", "apiKeys": ["key-of-coop"], "priority": 1, "unit": "token_metered",
                     "plainTokens": 200, "ratePerS": 0, "burst": 0}],
    }


async def ask(record, fleet, crashing, started, results):
    """One request, without a retry: the rule counts first attempts."""
    attempt = os.urandom(6).hex()
    is_sound = crashing is None
    beginnings = list(BEGINNINGS) if is_sound else list(BEGINNINGS)[1:]
    beginning = random.choices(beginnings, [BEGINNINGS[each] for each in beginnings])[0]
    parts = [beginning, f"{attempt[:8]}:390"] if is_sound else [beginning, crashing, f"{attempt[:8]}:90"]
    headers = {"host": "assist.example", "x-samphiretray-attempt-id": attempt,
               "x-samphiretray-deadline-ms": str(DEADLINE_MS), "x-samphiretray-credential": "key-of-coop",
               "x-samphiretray-model": MODEL, "x-samphiretray-token-count": "2990,40",
               "x-samphiretray-prompt-prefix": ",".join(parts)}
    sent_at = time.monotonic() - started
    host = random.choice(ENTRIES)
    answer = await s.call_stream(host, fleet.ports["front"], "/d/1", headers, body=b"assess " + attempt.encode())
    results.append((sent_at, is_sound, answer.status, bool(answer.events)))
    record.add("answered", sent_at_s=round(sent_at, 2), entry=host, attempt=attempt, parts=parts, sound=is_sound,
               status=answer.status, events=len(answer.events), retry_after=answer.headers.get("retry-after", ""))


async def main(record, trouble):
    store = s.Store(STORE, s.free_port([STORE]))
    await store.listen()
    tasks = [asyncio.ensure_future(store.keep_time())]
    fleet = s.Fleet(record, store.address, ZONES)
    fleet.choose_ports(ENTRIES + MACHINES)
    port = s.free_port(MACHINES)
    engines = [Engine(record, store, number, host, port) for number, host in enumerate(MACHINES)]
    names = [f"front-{index}" for index in range(len(ENTRIES))]
    settings = {name: fleet.entry_settings(name, host, "north-a") for name, host in zip(names, ENTRIES)}

    def start_all():
        for name, values in settings.items():
            fleet.start(name, "gateway" if name in names else "engine-agent", values)

    try:
        store.put("op/config", configuration())
        for number, engine in enumerate(engines):
            await engine.listen()
            tasks.append(asyncio.ensure_future(engine.registration.run()))
            name = f"side-{number}"
            settings[name] = fleet.agent_settings(name, engine.host, "north-a", engine.address, "assist")
        start_all()
        if not await s.wait_until_ready(fleet, ENTRIES):
            return s.CANNOT_RUN
        await asyncio.sleep(1.0)
        started = time.monotonic()
        results, requests = [], []
        killed = False
        next_sound = next_crashing = 0.0
        while (now := time.monotonic() - started) < END_AT:
            if now >= next_sound:
                next_sound = now + 1 / SOUND_PER_S
                requests.append(asyncio.ensure_future(ask(record, fleet, None, started, results)))
            part = CRASHING[0] if FIRST_AT <= now < FIRST_UNTIL else CRASHING[1] if now >= SECOND_AT else None
            if trouble and part and now >= next_crashing:
                next_crashing = now + 1 / CRASHING_PER_S
                requests.append(asyncio.ensure_future(ask(record, fleet, part, started, results)))
            if trouble and not killed and now >= KILL_AT:
                killed = True
                for name in settings:
                    fleet.signal(name, signal.SIGKILL)
                for name in settings:
                    fleet.children[name].wait()
                await asyncio.sleep(RESTART_S)
                start_all()
            await asyncio.sleep(0.01)
        await asyncio.gather(*requests)
        crashes = sorted(at - started for engine in engines for at, part in engine.crashes if part == CRASHING[1])
        before_kill = [at for at in crashes if at < KILL_AT]
        decisive = (crashes[4] if len(crashes) > 4 else crashes[-1]) if crashes else SECOND_AT
        window = max(decisive + 2 * CONTACT_S, KILL_AT + RESTART_S + CONTACT_S)
        calm = [began for at, sound, _, began in results if sound and at < FIRST_AT - 1]
        beside = [began for at, sound, _, began in results if sound and at >= window]
        record.add("result", crashes=[round(at, 1) for at in crashes], second_part_crashes_before_the_kill=len(before_kill),
                   window_from_s=round(window, 1), calm=len(calm), calm_begun=sum(calm), beside=len(beside),
                   beside_begun=sum(beside), ended_processes=fleet.ended())
        if len(calm) < 20 or len(beside) < 20:
            return s.CANNOT_RUN
        return s.BROKEN if sum(beside) / len(beside) < 0.5 * sum(calm) / len(calm) else s.HOLDS
    finally:
        fleet.close()
        for task in tasks:
            task.cancel()


s.run_case(FOLDER, main)
