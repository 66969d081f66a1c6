"""Stand-ins for a small deployment: the platform's store, model servers, plain servers and clients.

Everything runs in one event loop on loopback addresses. The system's own programs are started as separate
processes with the commands of deploy/system.toml and settings rendered like deploy/templates/.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("SAMPHIRETRAY_PROGRAM", os.path.join(ROOT, "target", "bin", "samphiretray"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "bench.example"
KEY = "key-of-tenant-a"
# Bounds of the small site that the claims name.
BOUNDS = {"drain_ms": 3000, "grace_s": 8, "budget_ratio": 0.2, "budget_slack": 56, "budget_window_s": 10,
          "quota_over": 0.1, "quota_slack": 72000}


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.4f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        url = urllib.parse.urlsplit(target)
        self.path, self.query = url.path, dict(urllib.parse.parse_qsl(url.query))

    def header(self, name, default=""):
        return next((value for key, value in self.headers if key == name), default)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = []
    for line in lines[1:]:
        if line:
            key, value = line.split(":", 1)
            headers.append((key.strip().lower(), value.strip()))
    names = dict(headers)
    body = b""
    if "content-length" in names:
        body = await reader.readexactly(int(names["content-length"]))
    elif names.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    text = f"HTTP/1.1 {status} X\r\n" + "".join(f"{key}: {value}\r\n" for key, value in headers) + "\r\n"
    return text.encode("latin-1")


def answer_bytes(status, headers=(), body=b""):
    return head_bytes(status, list(headers) + [("content-length", str(len(body)))]) + body


def json_answer(value, status=200, headers=()):
    return answer_bytes(status, [("content-type", "application/json"), *headers],
                        json.dumps(value).encode())


class HttpServer:
    """Serves one request at a time on a connection. `handle(request, reader, writer)` writes the answer and
    returns False to close the connection."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()
        self.up = True

    async def listen(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)

    async def close(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self.handle(request, reader, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: one revision counter, items, leases and watches."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.first_kept = 0

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        encoded = base64.b64encode(value if isinstance(value, bytes) else value.encode()).decode()
        item = {"key": key, "value": encoded, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(dict(item))
        self.wake()
        return self.revision

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease, (end, _) in list(self.leases.items()):
            if end <= now():
                del self.leases[lease]
                for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                    self.remove(key)

    async def handle(self, request, reader, writer):
        await asyncio.sleep(0.004)
        self.expire()
        writer.write(await self.answer(request))

    async def answer(self, request):
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return json_answer({**item, "at": self.revision}) if item else json_answer({}, 404)
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            return json_answer({"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                                "at": self.revision})
        if path == "/v1/kv-watch":
            return await self.watch(query)
        body = json.loads(request.body or b"{}")
        if path == "/v1/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + body["ttlMs"] / 1000, body["ttlMs"])
            return json_answer({"lease": self.next_lease, "ttlMs": body["ttlMs"]})
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return json_answer({}, 404)
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return json_answer({"lease": lease, "ttlMs": ttl})
        if path == "/v1/kv-txn":
            return self.transact(body)
        return json_answer({}, 404)

    def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return json_answer({"items": []}, 412)
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return json_answer({}, 404)
        for put in body.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return json_answer({"revision": self.revision})

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = now() + int(query.get("waitMs", "0")) / 1000
        if after < self.first_kept or after > self.revision:
            return json_answer({}, 410)
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - now()
            if events or left <= 0:
                return json_answer({"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass
            self.expire()


class Server(HttpServer):
    """A plain server: runs requests and registers itself with heartbeats."""

    service = "orders-desk"

    def __init__(self, fleet, name, address, zone="zone-a"):
        super().__init__(address)
        self.fleet, self.name, self.zone = fleet, name, zone
        self.state = "ready"
        self.beats = 0
        self.new_incarnation()
        self.runs = []
        self.arrivals = []
        # Replaces the default answer: async behave(server, request, writer) -> None or False.
        self.behave = None

    def new_incarnation(self):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)

    def entry(self):
        host, port = self.address
        return {"service": self.service, "address": f"{host}:{port}", "zone": self.zone, "version": "v1",
                "slots": 16, "state": self.state, "coldMs": 0, "seq": self.beats, "born": self.born,
                "stage": "both", "models": []}

    async def heartbeat(self):
        while True:
            if self.up:
                self.beats += 1
                previous = self.fleet.store.items.get(f"servers/{self.id}")
                entry = self.entry()
                if previous is not None:
                    known = json.loads(base64.b64decode(previous["value"]))
                    known["seq"] = entry["seq"]
                if previous is None or known != entry:
                    self.fleet.store.write(f"servers/{self.id}", json.dumps(entry))
            await asyncio.sleep(1.2)

    def sealed(self, request):
        return [("x-samphiretray-attempt-id", request.header("x-samphiretray-attempt-id")),
                ("x-samphiretray-server-seal", f"seal-{request.header('x-samphiretray-attempt-id')}")]

    def note_run(self, request):
        attempt = request.header("x-samphiretray-attempt-id")
        self.runs.append((now(), attempt))
        self.fleet.record(f"server {self.name} runs {attempt} {request.method} {request.target}")

    async def handle(self, request, reader, writer):
        attempt = request.header("x-samphiretray-attempt-id")
        if request.path == "/healthz":
            writer.write(answer_bytes(200, [("x-samphiretray-instance-id", self.id)]))
            return None
        self.arrivals.append((now(), attempt))
        if request.header("x-samphiretray-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, [("x-samphiretray-attempt-id", attempt)]))
            return None
        return await self.run(request, writer)

    async def run(self, request, writer):
        if self.behave:
            return await self.behave(self, request, writer)
        self.note_run(request)
        await asyncio.sleep(0.03)
        writer.write(answer_bytes(200, self.sealed(request), b"order " + request.body[:20]))
        return None


class Engine(Server):
    """A model server: one base model, adapter slots, orders with fencing numbers, event streams."""

    service = "assist-desk"
    model = "m0"
    adapter_slots = 8

    def __init__(self, fleet, name, address, zone="zone-a"):
        super().__init__(fleet, name, address, zone)
        self.reset()
        self.models = [self.model]
        self.events = 10
        self.gap_s = 0.02
        self.first_s = 0.04

    def reset(self):
        self.models, self.adapters, self.pending = [], {}, {}
        self.seq, self.fence, self.running = 0, 0, 0

    def described(self):
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": each, "version": 1, "adapters": names} for each in self.models]

    def entry(self):
        return {**super().entry(), "models": self.described()}

    async def handle(self, request, reader, writer):
        if request.path == "/v1/report":
            writer.write(json_answer({"stage": "both", "models": self.described(), "busy": False,
                                      "seq": self.seq, "queued": 0, "running": self.running, "kvUsed": 0,
                                      "kvTotal": 190000, "handles": 0, "born": self.born,
                                      "state": self.state,
                                      "pending": [f"{self.model}/{n}@{v}" for n, v in self.pending.items()]}))
            return None
        if request.path == "/v1/order":
            writer.write(answer_bytes(await self.order(request)))
            return None
        return await super().handle(request, reader, writer)

    async def order(self, request):
        body = json.loads(request.body)
        self.fleet.record(f"server {self.name} is ordered {json.dumps(body)}")
        if request.header("x-samphiretray-expect-instance", self.id) != self.id:
            return 421
        if body["fencingToken"] < self.fence:
            return 412
        self.fence = body["fencingToken"]
        if body.get("precondition", self.seq) != self.seq:
            return 409
        name = body.get("adapter")
        if name is None:
            self.seq += 1
            asyncio.get_running_loop().call_later(0.3, self.models.__setitem__, slice(None), [self.model])
            return 202
        known = name[:1] == "a" and name[1:].isdigit() and 1 <= int(name[1:]) <= 3000
        if not known:
            return 400
        self.seq += 1
        if body["operation"] == "unload":
            self.adapters.pop(name, None)
            return 200
        version = body.get("version", 1)
        self.pending[name] = version
        asyncio.get_running_loop().call_later(0.25, self.loaded, self.born, name, version)
        return 202

    def loaded(self, born, name, version):
        if born == self.born and self.pending.pop(name, None) is not None:
            self.adapters[name] = version

    def event(self, attempt, number):
        return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()

    def whole(self, attempt):
        return b"".join(self.event(attempt, n) for n in range(1, self.events + 1))

    async def run(self, request, writer):
        adapter = request.header("x-samphiretray-model").partition("/")[2]
        attempt = request.header("x-samphiretray-attempt-id")
        if not self.models or (adapter and adapter not in self.adapters):
            writer.write(answer_bytes(421, [("x-samphiretray-attempt-id", attempt)]))
            return None
        if self.behave:
            return await self.behave(self, request, writer)
        return await self.stream(request, writer)

    def stream_head(self, request, more=()):
        return head_bytes(200, [*self.sealed(request), ("content-type", "text/event-stream"), *more])

    async def stream(self, request, writer):
        attempt = request.header("x-samphiretray-attempt-id")
        after = int(request.header("last-event-id", "0") or "0")
        self.note_run(request)
        self.running += 1
        try:
            await asyncio.sleep(self.first_s)
            writer.write(self.stream_head(request, [("transfer-encoding", "chunked")]))
            for number in range(after + 1, self.events + 1):
                piece = self.event(attempt, number)
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    return False
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            return None
        finally:
            self.running -= 1


class Answer:
    """What a client has seen. `complete` is False if the connection ended before the answer did."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.failure = 0, {}, b"", False, ""
        self.sent_at = self.head_at = self.ended_at = 0.0
        self.closes = False

    def __str__(self):
        text = f"status {self.status} {'complete' if self.complete else 'incomplete'}, {len(self.body)} bytes"
        return text + (f", {self.failure}" if self.failure else "")


async def read_answer(reader, answer):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    answer.headers = {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:] if line)}
    answer.closes = answer.headers.get("connection", "").lower() == "close"
    answer.head_at = now()
    if "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left > 0:
            data = await reader.read(min(left, 65536))
            if not data:
                raise ConnectionError("closed inside the body")
            answer.body += data
            left -= len(data)
    elif answer.headers.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise ConnectionError("closed between chunks")
            size = int(line.split(b";")[0], 16)
            if size:
                answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        answer.body += await reader.read()
        answer.closes = True
    answer.complete = True


class Client:
    """One connection to an entry, kept for many requests."""

    def __init__(self, fleet, address):
        self.fleet, self.address, self.reader, self.writer = fleet, address, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def send(self, method, path, headers=(), body=b"", deadline_ms=5000, attempt=None, key=KEY):
        attempt = attempt or f"{random.getrandbits(64):016x}"
        answer = Answer()
        answer.attempt = attempt
        lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", f"x-samphiretray-attempt-id: {attempt}",
                 f"x-samphiretray-deadline-ms: {deadline_ms}", f"x-samphiretray-credential: {key}",
                 *[f"{name}: {value}" for name, value in headers]]
        if body or method == "POST":
            lines.append(f"content-length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        answer.sent_at = now()
        try:
            if self.writer is None or self.writer.is_closing():
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.address), 1.0)
            self.fleet.record(f"client sends {attempt} {method} {path}")
            self.writer.write(data)
            await asyncio.wait_for(read_answer(self.reader, answer), deadline_ms / 1000 + 1.0)
        except asyncio.TimeoutError:
            answer.failure = "no answer by the deadline and a second"
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as failure:
            answer.failure = f"the connection ends ({type(failure).__name__})"
        answer.ended_at = now()
        if not answer.complete or answer.closes:
            self.close()
        self.fleet.record(f"client gets {attempt} {answer}")
        return answer


def stream_headers(adapter="", tokens=(400, 40), prefix="", model="m0"):
    name = f"{model}/{adapter}" if adapter else model
    return [("x-samphiretray-model", name), ("x-samphiretray-token-count", f"{tokens[0]},{tokens[1]}"),
            ("x-samphiretray-prompt-prefix", prefix or f"5c1e07a2:300,{random.getrandbits(32):08x}:100")]


class Process:
    """One of the system's own processes. It is started again after it ends, like on the platform."""

    def __init__(self, fleet, name, command, settings):
        self.fleet, self.name, self.command = fleet, name, command
        self.settings = os.path.join(fleet.folder, f"{name}.json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.child = None
        self.ends = []
        self.expected = False

    def start(self):
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "a", encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder, "LANG": "C",
                       "SAMPHIRETRAY_CONFIG": self.settings}
        for name in ("ASAN_OPTIONS", "UBSAN_OPTIONS"):
            if name in os.environ:
                environment[name] = os.environ[name]
        self.expected = False
        self.child = subprocess.Popen([PROGRAM, self.command], cwd=ROOT, env=environment, stdout=log,
                                      stderr=log, stdin=subprocess.DEVNULL)
        self.fleet.record(f"process {self.name} starts")

    def signal(self, number):
        self.fleet.record(f"process {self.name} gets {signal.Signals(number).name}")
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected = True
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)

    async def supervise(self):
        while not self.fleet.stopping:
            code = self.child.poll()
            if code is not None:
                self.fleet.record(f"process {self.name} ends with {code}"
                                  + ("" if self.expected else ", which nothing asked of it"))
                if not self.expected:
                    self.ends.append((now(), code))
                await asyncio.sleep(0.5)
                if not self.fleet.stopping:
                    self.start()
            await asyncio.sleep(0.02)


def free_port_base(hosts):
    """Six free ports in a row, below the range from which the kernel takes the ports of clients."""
    for _ in range(200):
        base = random.randrange(20000, 32000, 20)
        try:
            for host in hosts:
                for offset in range(6):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((host, base + offset))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Fleet:
    """Entries 127.0.1.x, model servers with their agents 127.0.2.x, plain servers 127.0.3.x, store 127.0.0.9."""

    def __init__(self, case_folder, entries=2, engines=2, plain=2):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="samphiretray-review-")
        self.stopping = False
        self.tasks = []
        hosts = (["127.0.0.9"] + [f"127.0.1.{i + 1}" for i in range(entries)]
                 + [f"127.0.2.{i + 1}" for i in range(engines)] + [f"127.0.3.{i + 1}" for i in range(plain)])
        self.base = free_port_base(hosts)
        self.store_address = ("127.0.0.9", self.base)
        self.store = Store(self.store_address)
        self.engines = [Engine(self, f"engine-{i + 1}", (f"127.0.2.{i + 1}", self.base + 3))
                        for i in range(engines)]
        self.plain = [Server(self, f"plain-{i + 1}", (f"127.0.3.{i + 1}", self.base + 3)) for i in range(plain)]
        self.version = 0
        self.tenants = [{"name": "tenant-a", "apiKeys": [KEY], "ratePerS": 0, "burst": 0, "plainTokens": 200}]
        self.routes = [
            self.route("pole", "/pole/", "streaming", "assist-desk", 1, 5000, 1000, 1),
            self.route("splint", "/splint/", "streaming", "assist-desk", 2, 8000, 1000, 1, resumable=True),
            self.route("ask", "/ask/", "streaming", "assist-desk", 1, 15000, 800, 0),
            self.route("place", "/place/", "unsafe", "orders-desk", 1, 800, 300, 2),
            self.route("check", "/check/", "safe", "orders-desk", 2, 800, 300, 2)]
        self.entries = [self.entry_process(i, entries) for i in range(entries)]
        self.agents = [self.agent_process(i) for i in range(engines)]

    @staticmethod
    def route(name, prefix, kind, service, attempts, timeout_ms, aim_ms, priority, resumable=False):
        value = {"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "service": service,
                 "maxAttempts": attempts, "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms,
                 "priority": priority}
        if kind == "streaming":
            value |= {"resumable": resumable, "sticky": True, "targetGapMs": 300}
        return value

    def configuration(self):
        engine = {"slots": 96, "kvCapacityTokens": 191783, "adapterSlots": 8, "weightsMb": 35300,
                  "models": [{"name": "m0", "weightsMb": 34300, "loadTimeS": 1.3, "adapters": 3000,
                              "adapterMb": 40}]}
        return {"version": self.version, "routes": self.routes,
                "services": [{"name": "assist-desk", "engine": engine}, {"name": "orders-desk"}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                           "idleTimeoutMs": 10000},
                "tenants": self.tenants}

    def write_configuration(self):
        self.version += 3
        self.store.write("op/config", json.dumps(self.configuration()))
        self.record(f"operator writes configuration {self.version}")

    def common(self, name):
        host, port = self.store_address
        return {"vm": name, "region": "region-a", "data_centre": "zone-a", "store": f"{host}:{port}",
                "drain_limit_ms": BOUNDS["grace_s"] * 1000}

    def entry_process(self, index, count):
        host = f"127.0.1.{index + 1}"
        settings = {**self.common(f"front-{index + 1}"),
                    "data_centres": [{"name": "zone-a", "region": "region-a"}],
                    "listen": f"{host}:{self.base + 1}", "ready_listen": f"{host}:{self.base + 2}",
                    "control_listen": f"{host}:{self.base + 4}", "agent_port": self.base + 5,
                    "agent_control_port": self.base + 4, "retry_ratio": BOUNDS["budget_ratio"],
                    "retry_floor": BOUNDS["budget_slack"],
                    "retry_period_ms": BOUNDS["budget_window_s"] * 1000,
                    "rate_tolerance": BOUNDS["quota_over"], "burst_tolerance": BOUNDS["quota_slack"]}
        process = Process(self, f"front-{index + 1}", "gateway", settings)
        process.address = (host, self.base + 1)
        process.ready = (host, self.base + 2)
        return process

    def agent_process(self, index):
        host = f"127.0.2.{index + 1}"
        settings = {**self.common(f"side-{index + 1}"), "listen": f"{host}:{self.base + 5}",
                    "control_listen": f"{host}:{self.base + 4}", "engine": f"{host}:{self.base + 3}",
                    "service": "assist-desk"}
        process = Process(self, f"side-{index + 1}", "engine-agent", settings)
        process.address = (host, self.base + 5)
        return process

    def task(self, work):
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    async def start(self):
        await self.store.listen()
        for server in self.engines + self.plain:
            await server.listen()
            self.task(server.heartbeat())
        self.write_configuration()
        for process in self.agents + self.entries:
            process.start()
            self.task(process.supervise())
        for entry in self.entries:
            await self.until_ready(entry)
        await asyncio.sleep(2.0)

    async def until_ready(self, entry, limit_s=10):
        end = now() + limit_s
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(*entry.ready)
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{entry.name} is not ready after {limit_s} s")

    async def stop(self):
        self.stopping = True
        for process in self.agents + self.entries:
            if process.child and process.child.poll() is None:
                process.child.kill()
            if process.child:
                process.child.wait()
        for server in [self.store, *self.engines, *self.plain]:
            await server.close()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play, **sizes):
    """Runs `play(fleet)`, which returns a list of violations. Exits with 1, 0 or 2 as the issue says."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def run():
        if not os.access(PROGRAM, os.X_OK):
            print("the build of the deploy file is missing:", PROGRAM)
            return 2
        fleet = Fleet(folder, **sizes)
        try:
            await fleet.start()
            violations = await asyncio.wait_for(play(fleet), 110)
        except Exception as failure:  # pylint: disable=broad-except
            fleet.record(f"the case could not run: {failure!r}")
            print("the case could not run:", repr(failure))
            return 2
        finally:
            await fleet.stop()
        for line in violations:
            fleet.record("VIOLATION " + line)
            print(line)
        print("the rule was broken" if violations else "the rule held")
        return 1 if violations else 0

    sys.exit(asyncio.run(run()))
