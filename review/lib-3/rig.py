"""A small deployment on loopback: the project's own programs as separate processes, and stand-ins of the
platform's store, of model servers, of plain servers and of clients.

Every machine has its own address in 127.0.0.0/8, and all stand-ins run in one event loop. Only the standard
library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "samphiretray")
MODEL = "base0"

BOUNDS = {"contactMs": 4000, "drainMs": 3000, "graceS": 8, "configMs": 3000, "budgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8, "quotaOver": 0.1, "quotaSlack": 72000,
          "version_ms": 5000}


class CannotRun(Exception):
    """The case could not be played; it shows nothing."""


def now():
    return time.monotonic()


# --- Settings -------------------------------------------------------------------------------------------


def lookup(name, scopes):
    if name == ".":
        return scopes[-1]["."]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(each) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes):
    """Fills in a template of the deploy file."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(match):
        kind, name, body = match.groups()
        value = lookup(name, scopes)
        if kind == "^":
            return render(body, scopes) if not value else ""
        if not value:
            return ""
        if isinstance(value, (dict, list)):
            entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            parts = []
            for index, (key, each) in enumerate(entries):
                scope = {".": each, "@": key, ",": "," if index + 1 < len(entries) else ""}
                parts.append(render(body, scopes + [scope]))
            return "".join(parts)
        return render(body, scopes)

    text = section.sub(fill, text)
    return re.sub(r"\{\{([^}|]+)(\|json)?\}\}",
                  lambda m: json.dumps(lookup(m[1], scopes)) if m[2] else as_text(lookup(m[1], scopes)), text)


# --- HTTP -----------------------------------------------------------------------------------------------


class Head:
    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(head.get("content-length") or 0))


def response(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 on one address; a subclass handles the requests."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.listener = None
        self.writers = set()

    async def open(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    def shut(self):
        """Ends as a killed process does: its kernel closes all of its connections."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except Exception:
                pass

    async def send(self, writer, data):
        if writer.transport.is_closing():
            raise ConnectionResetError()
        writer.write(data)
        await writer.drain()


# --- The platform's store -------------------------------------------------------------------------------


class Store(Server):
    """Keeps keys with leases, answers watches, and can be restored from an older copy."""

    def __init__(self, ip, port, answer_s=0.004):
        super().__init__(ip, port)
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.next_lease, self.era = 100, 1000, 1
        self.changed = asyncio.Event()
        self.answer_s = answer_s
        self.is_down = False
        self.horizon = 0

    def note(self, key):
        self.revision += 1
        item = self.items.get(key)
        self.history.append((self.revision, key, dict(item, revision=self.revision) if item else None))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        data = value.encode() if isinstance(value, str) else value
        created = self.items.get(key, {}).get("created", self.revision + 1)
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(), "created": created,
                           "lease": lease, "revision": self.revision + 1}
        self.note(key)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.note(key)

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if until < now():
                del self.leases[lease]
                for key in [k for k, v in self.items.items() if v["lease"] == lease]:
                    self.remove(key)

    def copy(self):
        return {k: dict(v) for k, v in self.items.items()}, dict(self.leases), self.revision

    def restore(self, copied):
        """Comes back from a copy: revisions go back, and what was written since is gone."""
        items, leases, revision = copied
        self.items = {k: dict(v) for k, v in items.items()}
        self.leases = dict(leases)
        self.history, self.horizon, self.revision = [], revision, revision
        self.era += 1
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, head, body, reader, writer):
        if self.is_down:
            return False
        method, target = head.first[0], head.first[1]
        path, _, query = target.partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        await asyncio.sleep(self.answer_s)
        self.expire()
        status, answer = 404, {}
        if path == "/v1/kv-key":
            item = self.items.get(fields.get("key", ""))
            status, answer = (200, dict(item, at=self.revision)) if item else (404, {})
        elif path == "/v1/kv-range":
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            status, answer = 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                                   "at": self.revision}
        elif path == "/v1/kv-watch":
            status, answer = await self.watch(fields)
        elif path == "/v1/kv-txn":
            status, answer = self.transact(json.loads(body))
        elif path == "/v1/kv-lease":
            ttl = max(1000, min(int(json.loads(body)["ttlMs"]), 600000))
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            status, answer = 200, {"lease": self.next_lease, "ttlMs": ttl}
        elif path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                ttl = self.leases[lease][1]
                self.leases[lease] = (now() + ttl / 1000, ttl)
                status, answer = 200, {"ttlMs": ttl}
        elif path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.leases[lease] = (0, 0)
                self.expire()
                status = 200
        await self.send(writer, response(status, [("Content-Type", "application/json"),
                                                  ("Store-Era", self.era)], json.dumps(answer).encode()))
        return True

    async def watch(self, fields):
        prefix, after = fields.get("prefix", ""), int(fields.get("after", 0))
        until = now() + min(int(fields.get("waitMs", 0)), 30000) / 1000
        era = self.era
        while True:
            if after < self.horizon or after > self.revision or self.era != era:
                return 410, {}
            events = [(r, k, i) for r, k, i in self.history if r > after and k.startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": [dict(i, revision=r) if i else {"key": k, "revision": r, "removed": True}
                                        for r, k, i in events], "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass
            self.expire()

    def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in body["precondition"]
                                       if r["key"] in self.items]}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# --- Application servers --------------------------------------------------------------------------------


class AppServer(Server):
    """What model servers and plain servers share: registration, restarts and the record of arrivals."""

    heartbeat_s = 1.2

    def __init__(self, world, ip, port, service, zone, version="v1"):
        super().__init__(ip, port)
        self.world, self.service, self.zone, self.version = world, service, zone, version
        self.state, self.starts, self.id = "ready", 0, ""
        self.is_up, self.reaches_store, self.last_beat = False, True, 0
        self.running, self.beats = 0, 0
        self.extra = []  # headers of each answer

    async def start(self):
        self.starts += 1
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.state, self.beats, self.running, self.is_up = "ready", 0, 0, True
        self.reset()
        await self.open()
        self.beat()

    def reset(self):
        pass

    def record(self):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state, "coldMs": 0,
                "born": self.born, "seq": self.beats}

    def beat(self):
        self.beats += 1
        self.last_beat = now()
        key, value = f"servers/{self.id}", self.record()
        known = getattr(self, "written", None)
        comparable = {k: v for k, v in value.items() if k != "seq"}
        if known != comparable or key not in self.world.store.items:
            self.world.store.put(key, value)
            self.written = comparable

    def crash(self, down_s):
        """The process dies and another one starts after `down_s`, empty and under another id."""
        if not self.is_up:
            return
        self.is_up = False
        self.world.note("crash", server=self.id)
        self.shut()
        self.world.spawn(self.come_back(self.id, down_s))

    def leave(self):
        """The process exits for good."""
        self.is_up = False
        self.shut()

    async def come_back(self, old_id, down_s):
        self.world.spawn(self.forget(old_id))
        await asyncio.sleep(down_s)
        while True:
            try:
                await self.start()
                return
            except OSError:
                await asyncio.sleep(0.1)

    async def forget(self, old_id):
        await asyncio.sleep(3 * self.heartbeat_s)
        self.world.store.remove(f"servers/{old_id}")

    def identity(self, head):
        return [("X-Samphiretray-Attempt-Id", head.get("x-samphiretray-attempt-id")),
                ("X-Samphiretray-Instance-Id", self.id)] + self.extra

    def is_other(self, head):
        expected = head.get("x-samphiretray-expect-instance")
        return expected and expected != self.id

    def seal(self):
        return ("X-Samphiretray-Server-Seal", f"{self.id}.{random.getrandbits(32):08x}")


class PlainServer(AppServer):
    slots = 6

    def __init__(self, *args, work_s=0.03, **kwargs):
        super().__init__(*args, **kwargs)
        self.work_s = work_s

    async def handle(self, head, body, reader, writer):
        path = head.first[1]
        if path == "/healthz":
            await self.send(writer, response(200, [("X-Samphiretray-Instance-Id", self.id)]))
            return True
        if self.is_other(head):
            await self.send(writer, response(421, self.identity(head)))
            return True
        refusal = await self.world.on_arrival(self, head, body)
        if refusal:
            await self.send(writer, refusal)
            return True
        self.world.note_arrival(self, head, body)
        verdict = await self.world.on_run(self, head, body)
        if verdict == "crash":
            self.crash(self.world.server_down_s)
            return False
        if isinstance(verdict, bytes):
            await self.send(writer, verdict)
            return True
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        load = ("X-Samphiretray-Server-Load", f"{self.running},0,{self.slots}")
        await self.send(writer, response(200, self.identity(head) + [self.seal(), load], b"x" * 800))
        return True


class Engine(AppServer):
    """A model server that holds one base model and a few adapters."""

    slots, load_s, first_s, gap_s = 96, 1.3, 0.12, 0.03
    adapter_slots, adapter_load_s = 8, 0.25

    def reset(self):
        # What is placed at the first start stays; a server that starts again is empty.
        self.models = {MODEL: {}} if self.starts == 1 else {}
        self.pending, self.busy, self.seq, self.fence = {}, False, 0, 0

    def model_list(self):
        return [{"name": name, "version": 1, "adapters": [f"{a}@{v}" for a, v in adapters.items()]}
                for name, adapters in self.models.items()]

    def record(self):
        return dict(super().record(), stage="both", models=self.model_list())

    def report(self):
        pending = [f"{MODEL}/{a}@{v}" for a, v in self.pending.items()]
        return {"stage": "both", "models": self.model_list(), "busy": self.busy, "seq": self.seq, "queued": 0,
                "running": self.running, "kvUsed": 1000 * self.running, "kvTotal": 190000, "handles": 0,
                "state": self.state, "born": self.born, "pending": pending}

    async def handle(self, head, body, reader, writer):
        method, path = head.first[0], head.first[1]
        if path == "/v1/report":
            await self.send(writer, response(200, [("Content-Type", "application/json")],
                                             json.dumps(self.report()).encode()))
            return True
        if path == "/healthz":
            await self.send(writer, response(200, [("X-Samphiretray-Instance-Id", self.id)]))
            return True
        if self.is_other(head):
            await self.send(writer, response(421, self.identity(head)))
            return True
        if path == "/v1/order":
            status = self.order(json.loads(body))
            await self.send(writer, response(status, [], b"{}"))
            return True
        return await self.run(head, body, reader, writer)

    def order(self, order):
        if "owner" not in order or "fencingToken" not in order:
            return 400
        self.world.note_order(self, order)
        if order["fencingToken"] < self.fence:
            return 412
        if "precondition" in order and order["precondition"] != self.seq:
            return 409
        if self.busy:
            return 409
        self.fence = order["fencingToken"]
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "load" and adapter:
            if model not in self.models:
                return 400
            version = order.get("version", self.world.adapter_versions.get(adapter, 1))
            if self.models[model].get(adapter) == version:
                return 200
            self.seq += 1
            self.pending[adapter] = version
            self.world.spawn(self.finish_adapter(self.starts, model, adapter, version))
            return 202
        if order["operation"] == "load":
            if model in self.models:
                return 200
            self.seq += 1
            self.busy = True
            self.world.spawn(self.finish_model(self.starts, model))
            return 202
        if adapter:
            if adapter in self.models.get(model, {}):
                self.seq += 1
                del self.models[model][adapter]
            return 200
        self.seq += 1
        self.models.pop(model, None)
        return 202

    async def finish_model(self, start, model):
        await asyncio.sleep(self.load_s)
        if start == self.starts and self.is_up:
            self.models[model], self.busy = {}, False

    async def finish_adapter(self, start, model, adapter, version):
        await asyncio.sleep(self.adapter_load_s)
        if start == self.starts and self.is_up and model in self.models:
            self.pending.pop(adapter, None)
            self.models[model][adapter] = version

    async def run(self, head, body, reader, writer):
        named = head.get("x-samphiretray-model")
        model, _, adapter = named.partition("/")
        held = self.models.get(model)
        version = head.get("x-samphiretray-expect-version")
        if held is None or (adapter and adapter not in held) or \
                (adapter and version and str(held[adapter]) != version):
            await self.send(writer, response(421, self.identity(head)))
            return True
        refusal = await self.world.on_arrival(self, head, body)
        if refusal:
            await self.send(writer, refusal)
            return True
        self.world.note_arrival(self, head, body)
        start = self.starts
        self.running += 1
        try:
            await asyncio.sleep(self.first_s)
            if writer.transport.is_closing() or start != self.starts:
                return False
            verdict = await self.world.on_run(self, head, body)
            if verdict == "crash":
                self.crash(self.world.server_down_s)
                return False
            if isinstance(verdict, bytes):
                await self.send(writer, verdict)
                return True
            return await self.stream(head, writer, held.get(adapter, 1) if adapter else 1)
        finally:
            self.running -= 1

    async def stream(self, head, writer, version):
        headers = self.identity(head) + [self.seal(), ("Content-Type", "text/event-stream"),
                                         ("X-Samphiretray-Weight-Versions", version),
                                         ("Transfer-Encoding", "chunked")]
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) + "\r\n"
        await self.send(writer, text.encode())
        first = int(head.get("last-event-id") or 0) + 1
        total = int(head.get("x-samphiretray-token-count").split(",")[1])
        for number in range(first, total + 1):
            event = f"id: {number}\ndata: {self.version} {head.get('x-samphiretray-attempt-id')}\n\n".encode()
            await self.send(writer, b"%x\r\n%s\r\n" % (len(event), event))
            if number < total:
                await asyncio.sleep(self.gap_s)
        await self.send(writer, b"0\r\n\r\n")
        return True


# --- The project's programs -----------------------------------------------------------------------------


class Program:
    def __init__(self, world, role, node, ip, zone, extra):
        self.world, self.role, self.node, self.ip, self.zone = world, role, node, ip, zone
        self.extra, self.process, self.started_at, self.is_wanted = extra, None, 0, False
        self.folder = os.path.join(world.folder, node)
        os.makedirs(self.folder, exist_ok=True)

    def fields(self):
        world = self.world
        base = world.base_port
        return dict({"node": self.node, "role": self.role, "ip": self.ip, "zone": self.zone,
                     "region": world.zones[self.zone], "portRange": [base, base + 15], "zones": world.zones,
                     "heartbeatMs": 1200, "bounds": BOUNDS,
                     "platform": {"address": f"{world.store.ip}:{world.store.port}"}}, **self.extra)

    async def start(self):
        template = os.path.join(REPOSITORY, "deploy", "templates",
                                "entry.json" if self.role == "gateway" else "engine-agent.json")
        settings = os.path.join(self.folder, "settings")
        with open(template) as text, open(settings, "w") as out:
            out.write(render(text.read(), [self.fields()]))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                       "SAMPHIRETRAY_CONFIG": settings}
        with open(os.path.join(self.folder, "log"), "a") as log:
            self.process = await asyncio.create_subprocess_exec(PROGRAM, self.role, cwd=REPOSITORY,
                                                                env=environment, stdin=asyncio.subprocess.DEVNULL,
                                                                stdout=log, stderr=log)
        self.started_at, self.is_wanted = now(), True
        self.world.spawn(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if self.is_wanted and process is self.process:
            self.world.note("process_ended", node=self.node, code=code)
            self.world.own_ends += 1

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self, number=signal.SIGKILL):
        self.is_wanted = False
        self.send_signal(number)
        if self.process:
            await self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as log:
            return log.read()


# --- Clients --------------------------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False

    def events(self):
        return [each for each in self.body.decode("latin-1").split("\n\n") if "id:" in each]


async def call(ip, port, method, path, headers, body=b"", timeout=10.0, on_first=None):
    """One request on a connection of its own. A failure is an answer with status 0 or one that isn't whole."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        head = await read_head(reader)
        answer.status, answer.headers = int(head.first[1]), head.headers
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                if on_first and not answer.body:
                    on_first()
                answer.body += chunk[:-2]
        elif "content-length" in head.headers:
            answer.body = await reader.readexactly(int(head.get("content-length")))
        else:
            answer.body = await reader.read()
        answer.whole = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    return answer


# --- The deployment -------------------------------------------------------------------------------------


class World:
    """`entries` machines with gateways, `engines` machines with a model server and its agent each, and
    `plain` plain servers, spread over three zones."""

    zones = {"north-a": "north", "middle-a": "middle", "south-a": "south"}
    host = "desk.example"
    key = "key-of-hall"

    def __init__(self, folder, entries=5, engines=0, plain=0, trouble=True, resumable=False):
        self.record_file = os.path.join(folder, "record.txt")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.trouble, self.server_down_s, self.own_ends = trouble, 3.0, 0
        self.tasks, self.lines, self.arrivals, self.orders = set(), [], [], []
        self.adapter_versions, self.sent_at = {}, {}
        self.subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.base_port = random.randint(11000, 28000)
        self.started = now()
        zones = list(self.zones)
        self.store = Store(f"{self.subnet}.1", self.base_port + 40)
        self.entries = [self.make_entry(i, zones[i % 3]) for i in range(entries)]
        self.engines = [Engine(self, f"{self.subnet}.{100 + i}", self.base_port + 20, "assist", zones[i % 3])
                        for i in range(engines)]
        self.agents = [self.make_agent(i, each) for i, each in enumerate(self.engines)]
        self.plain = [PlainServer(self, f"{self.subnet}.{200 + i}", self.base_port + 21, "orders", zones[i % 3])
                      for i in range(plain)]
        self.resumable = resumable
        self.tenants = [{"name": "hall", "apiKeys": [self.key], "priority": 1, "unit": "token_metered",
                         "plainTokens": 200, "ratePerS": 0, "burst": 0}]

    def make_entry(self, index, zone):
        ip = f"{self.subnet}.{10 + index}"
        base = self.base_port
        return Program(self, "gateway", f"front-{zone}-{index}", ip, zone, {
            "serves": ["front"], "listen": {"front": f"{ip}:{base + 30}", "ready": f"{ip}:{base + 31}"},
            "limits": {"memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0}})

    def make_agent(self, index, engine):
        return Program(self, "engine-agent", f"side-{engine.zone}-{index}", engine.ip, engine.zone, {
            "serves": [], "listen": {}, "app": f"{engine.ip}:{engine.port}", "service": "assist",
            "limits": {"memoryMb": 192, "maxFds": 4096, "linkMbps": 2000.0}})

    def configuration(self, version):
        common = {"hostname": self.host, "priority": 1, "public": False}
        routes = [
            dict(common, name="r-ask", prefix="/ask/", kind="streaming", timeoutMs=15000, targetLatencyMs=800,
                 targetGapMs=300, service="assist", maxAttempts=3 if self.resumable else 1, sticky=True,
                 resumable=self.resumable),
            dict(common, name="r-place", prefix="/place/", kind="unsafe", timeoutMs=1500, targetLatencyMs=300,
                 service="orders", maxAttempts=1, sticky=False, resumable=False),
            dict(common, name="r-check", prefix="/check/", kind="safe", timeoutMs=1500, targetLatencyMs=300,
                 service="orders", maxAttempts=2, sticky=False, resumable=False)]
        engine = {"slots": 96, "kvCapacityTokens": 191783, "kvTokenBytes": 131072, "weightsMb": 35300.0,
                  "adapterSlots": 8, "loadsPerS": 2.1, "models": [
                      {"name": MODEL, "weightsMb": 34300.0, "loadTimeS": 1.3, "adapters": 3000, "adapterMb": 40.0}]}
        services = [{"name": "assist", "healthPath": "/healthz", "maxConnections": 500, "engine": engine},
                    {"name": "orders", "healthPath": "/healthz", "maxConnections": 110}]
        return {"version": version, "routes": routes, "services": services, "tenants": self.tenants,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000}}

    # What a case overrides.
    async def on_arrival(self, server, head, body):
        """Called when a request arrives: the bytes of a refusal, or None."""
        return None

    async def on_run(self, server, head, body):
        """Called when a server begins to run a request: "crash", the bytes of an answer, or None."""
        return None

    def note_arrival(self, server, head, body):
        self.arrivals.append((now(), server.id, head, body))

    def note_order(self, server, order):
        self.orders.append((now(), server.id, order))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def note(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{now() - self.started:8.3f} {event} {text}")

    def servers(self):
        return self.engines + self.plain

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/bin/samphiretray is missing: run the build of the deploy file")
        await self.store.open()
        self.store.put("op/config", self.configuration(1))
        for server in self.servers():
            await server.start()
        self.spawn(self.beat())
        for program in self.entries + self.agents:
            await program.start()
        until = now() + 20
        while now() < until:
            if all([await self.is_ready(each) for each in self.entries]):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("the entries did not get ready")
        await asyncio.sleep(3)
        self.note("started", entries=len(self.entries), agents=len(self.agents), plain=len(self.plain))

    async def is_ready(self, entry):
        answer = await call(entry.ip, self.base_port + 31, "GET", "/v1/readiness", [("Host", "ready")], timeout=1)
        return answer.status == 200

    async def beat(self):
        while True:
            await asyncio.sleep(0.2)
            for server in self.servers():
                if server.is_up and server.reaches_store and now() - server.last_beat >= server.heartbeat_s:
                    server.beat()

    async def ask(self, entry, path, method="POST", parts=None, body=b"", output=4, timeout=5.0, tokens=None,
                  adapter="", headers=(), kind="ask", on_first=None, attempt=None):
        """One client attempt; both its sending and its answer go into the record."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        sent = [("Host", self.host), ("X-Samphiretray-Attempt-Id", attempt),
                ("X-Samphiretray-Deadline-Ms", int(timeout * 1000)), ("X-Samphiretray-Credential", self.key)]
        if parts is not None:
            prompt = sum(size for _, size in parts)
            sent += [("X-Samphiretray-Model", MODEL + (f"/{adapter}" if adapter else "")),
                     ("X-Samphiretray-Token-Count", f"{prompt},{output}"),
                     ("X-Samphiretray-Prompt-Prefix", ",".join(f"{name}:{size}" for name, size in parts))]
        sent += list(headers)
        self.sent_at[attempt] = now()
        self.note("sent", kind=kind, attempt=attempt, at=entry.node, path=path)
        answer = await call(entry.ip, self.base_port + 30, method, path, sent, body, timeout + 0.5, on_first)
        answer.attempt = attempt
        self.note("answered", kind=kind, attempt=attempt, status=answer.status, whole=answer.whole,
                  events=len(answer.events()), cause=answer.body[:60].decode("latin-1").strip()
                  if answer.status >= 400 else "")
        return answer

    async def stop(self):
        for program in self.entries + self.agents:
            await program.kill()
        for task in list(self.tasks):
            task.cancel()
        for server in self.servers() + [self.store]:
            server.shut()
        await asyncio.sleep(0.1)

    def finish(self, summary):
        with open(self.record_file, "w") as out:
            out.write("\n".join(self.lines + summary) + "\n")
        if os.environ.get("KEEP") == "1":
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(make_world, play):
    """Plays a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    `play(world)` returns whether the rule was broken and the lines of the summary."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = make_world(folder, trouble)
        # A run that is ended from outside still ends the processes that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await world.start()
            broken, summary = await play(world)
            code = 1 if broken else 0
        except CannotRun as failure:
            code, summary = 2, [f"the case could not run: {failure}"]
        except asyncio.CancelledError:
            code, summary = 2, ["the case was ended from outside"]
        finally:
            await world.stop()
        summary.append(f"trouble={'on' if trouble else 'off'} processes that ended by themselves: "
                       f"{world.own_ends} result: {['held', 'BROKEN', 'could not run'][code]}")
        world.finish(summary)
        print("\n".join(summary))
        return code

    sys.exit(asyncio.run(main()))
