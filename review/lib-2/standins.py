"""Stand-ins for the platform, its servers and its clients, and helpers to run the system's own programs.

Everything listens on loopback addresses. Each case is one asyncio program; the system's processes are started
separately, with the commands of deploy/system.toml.
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
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "samphiretray")
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """The record of a case: one JSON line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, event, **fields):
        line = {"at_s": round(self.now(), 3), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_message(reader):
    """Reads the start line, the headers (lower-case names) and returns them; None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise ConnectionError("the input ends before the last chunk")
    size = int(line.split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Exchange:
    """One request at a server and the answer to it."""

    def __init__(self, writer):
        self.writer = writer
        self.keep = True

    def send(self, status, headers=None, body=b""):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
            headers = {"content-type": "application/json", **(headers or {})}
        lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in (headers or {}).items()]
        lines.append(f"content-length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def start_chunked(self, status, headers):
        lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
        lines.append("transfer-encoding: chunked")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def write_chunk(self, data):
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_chunked(self):
        self.writer.write(b"0\r\n\r\n")

    def is_closed(self):
        return self.writer.is_closing()


class HttpServer:
    """An HTTP/1.1 server; subclasses implement `handle`. `crash` resets all connections at once."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self.on_connection, self.host, self.port, limit=1 << 20)

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        started = []
        try:
            while message := await read_message(reader):
                start, headers = message
                method, target, _ = start.split(" ", 2)
                body = await read_body(reader, headers)
                exchange = Exchange(writer)
                handling = asyncio.ensure_future(self.handle(Request(method, target, headers, body), exchange))
                # The caller's close ends the work.
                watching = asyncio.ensure_future(reader.read(1)) if self.drops_work() else None
                started = [each for each in (handling, watching) if each is not None]
                if watching is None:
                    await handling
                else:
                    done, _ = await asyncio.wait({handling, watching}, return_when=asyncio.FIRST_COMPLETED)
                    if handling not in done:
                        handling.cancel()
                        await asyncio.gather(handling, return_exceptions=True)
                        break
                    handling.result()
                    if watching.done():
                        break
                    watching.cancel()
                    await asyncio.gather(watching, return_exceptions=True)
                await writer.drain()
                if not exchange.keep:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            for each in started:
                each.cancel()
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def drops_work(self):
        return False

    async def handle(self, request, exchange):
        raise NotImplementedError

    def crash(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store(HttpServer):
    """The platform's metadata store: items, leases, transactions and watches, with 4 ms an answer."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.next_lease = 1

    def note(self, key, item):
        self.events.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes an item as the operator or a server does; returns the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.note(key, self.items[key])
        return time.monotonic()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.note(key, None)

    def expire(self):
        now = time.monotonic()
        for lease in [each for each, (_, ends) in self.leases.items() if ends <= now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def keep_time(self):
        while True:
            self.expire()
            await asyncio.sleep(0.1)

    async def handle(self, request, exchange):
        await asyncio.sleep(0.004)
        path = request.path
        if path == "/v1/kv-key":
            item = self.items.get(request.query.get("key", ""))
            if item is None:
                exchange.send(404, body={"at": self.revision})
            else:
                exchange.send(200, body={**item, "at": self.revision})
        elif path == "/v1/kv-range":
            prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            shown = [self.items[k] for k in keys[:500]]
            exchange.send(200, body={"items": shown, "hasMore": len(keys) > 500, "at": self.revision})
        elif path == "/v1/kv-watch":
            await self.watch(request, exchange)
        elif path == "/v1/kv-txn":
            self.transact(json.loads(request.body), exchange)
        elif path == "/v1/kv-lease":
            ttl = json.loads(request.body)["ttlMs"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            exchange.send(200, body={"lease": lease, "ttlMs": ttl})
        elif path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                exchange.send(404, body={})
            else:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                exchange.send(200, body={"ttlMs": ttl})
        elif path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.leases[lease] = (0, 0)
                self.expire()
            exchange.send(200, body={})
        else:
            exchange.send(404, body={})

    async def watch(self, request, exchange):
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        ends = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            found = [
                item if item is not None else {"key": key, "revision": revision, "removed": True}
                for revision, key, item in self.events
                if revision > after and key.startswith(prefix)
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                exchange.send(200, body={"events": found, "at": self.revision})
                return
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body, exchange):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                exchange.send(412, body={"items": [item] if item else []})
                return
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                exchange.send(404, body={})
                return
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        exchange.send(200, body={"revision": self.revision})


class Registration:
    """A server's entry under servers/ID: written every 1.2 s, removed after three intervals of silence."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, identity, describe):
        self.store = store
        self.key = "servers/" + identity
        self.describe = describe
        self.reaches_store = True
        self.is_up = True
        self.last_write = 0.0
        self.sequence = 0

    def beat(self):
        if self.reaches_store and self.is_up:
            self.sequence += 1
            self.last_write = time.monotonic()
            self.store.put(self.key, {**self.describe(), "seq": self.sequence})

    async def run(self):
        while True:
            now = time.monotonic()
            if now - self.last_write >= self.HEARTBEAT_S:
                self.beat()
            if now - self.last_write >= 3 * self.HEARTBEAT_S:
                self.store.remove(self.key)
            await asyncio.sleep(0.1)


def free_port(hosts):
    """A port that is free on all of the hosts."""
    for _ in range(200):
        port = random.randint(20000, 28000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


class Fleet:
    """The system's processes, with the settings that deploy/templates render for a small deployment."""

    def __init__(self, record, store_address, zones, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="samphiretray-case-")
        self.store = store_address
        self.zones = zones
        self.bounds = {"graceS": 8, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56,
                       "quotaOver": 0.1, "quotaSlack": 72000, **(bounds or {})}
        self.ports = {}
        self.children = {}

    def choose_ports(self, hosts):
        for name in ("front", "ready", "control", "agent"):
            while (port := free_port(hosts)) in self.ports.values():
                pass
            self.ports[name] = port

    def entry_settings(self, name, host, zone):
        return {
            "vm": name, "region": self.zones[zone], "data_centre": zone, "store": self.store,
            "data_centres": [{"name": z, "region": r} for z, r in self.zones.items()],
            "listen": f"{host}:{self.ports['front']}",
            "ready_listen": f"{host}:{self.ports['ready']}",
            "control_listen": f"{host}:{self.ports['control']}",
            "agent_port": self.ports["agent"], "agent_control_port": self.ports["control"],
            "retry_ratio": self.bounds["budgetRatio"], "retry_floor": self.bounds["budgetSlack"],
            "retry_period_ms": self.bounds["budgetWindowS"] * 1000,
            "rate_tolerance": self.bounds["quotaOver"], "burst_tolerance": self.bounds["quotaSlack"],
            "memory_mb": 260, "max_descriptors": 4100, "link_mbps": 1000.0,
            "drain_limit_ms": self.bounds["graceS"] * 1000,
        }

    def agent_settings(self, name, host, zone, engine, service):
        return {
            "vm": name, "region": self.zones[zone], "data_centre": zone, "store": self.store,
            "listen": f"{host}:{self.ports['agent']}",
            "control_listen": f"{host}:{self.ports['control']}",
            "engine": engine, "service": service, "memory_mb": 192, "max_descriptors": 4096,
            "drain_limit_ms": self.bounds["graceS"] * 1000,
        }

    def start(self, name, role, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["SAMPHIRETRAY_CONFIG"] = path
        self.children[name] = subprocess.Popen([PROGRAM, role], cwd=REPOSITORY, env=environment,
                                               stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.add("process_started", name=name, role=role)

    def signal(self, name, number):
        self.children[name].send_signal(number)
        self.record.add("process_signalled", name=name, signal=signal.Signals(number).name)

    def log_text(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def ended(self):
        return [name for name, child in self.children.items() if child.poll() is not None]

    def close(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(host, port, method, target, headers=None, body=b"", timeout=5.0):
    """One request on a connection of its own; returns (status, headers, body), status 0 if there is none."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            fields = {"host": f"{host}:{port}", **(headers or {})}
            if body or method == "POST":
                fields["content-length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, {}, b""
            start, answer_headers = message
            return int(start.split(" ")[1]), answer_headers, await read_body(reader, answer_headers)
    except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class StreamAttempt:
    """One attempt at a stream of server-sent events."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.events = []
        self.complete = False
        self.first_event_at = None


async def call_stream(host, port, target, headers, body=b"", timeout=20.0, on_event=None):
    """Sends one attempt and reads its events; a whole event is the text before an empty line."""
    attempt = StreamAttempt()
    writer = None
    pending = b""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
            fields = {**headers, "content-length": str(len(body))}
            lines = [f"POST {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return attempt
            start, attempt.headers = message
            attempt.status = int(start.split(" ")[1])
            if attempt.headers.get("transfer-encoding", "").lower() != "chunked":
                await read_body(reader, attempt.headers)
                attempt.complete = True
                return attempt
            while chunk := await read_chunk(reader):
                pending += chunk
                while b"\n\n" in pending:
                    event, _, pending = pending.partition(b"\n\n")
                    attempt.first_event_at = attempt.first_event_at or time.monotonic()
                    attempt.events.append(event.decode())
                    if on_event is not None:
                        on_event(event.decode())
            attempt.complete = pending == b""
            return attempt
    except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return attempt
    finally:
        if writer is not None:
            writer.close()


async def wait_until_ready(fleet, entries, timeout=15.0):
    """Waits until every entry answers its readiness check with 200."""
    ends = time.monotonic() + timeout
    for host in entries:
        while (await call(host, fleet.ports["ready"], "GET", "/v1/readiness", timeout=1.0))[0] != 200:
            if time.monotonic() > ends:
                return False
            await asyncio.sleep(0.1)
    return True


def run_case(folder, main):
    """Runs `main(record, trouble)` and exits with its verdict; an error of the case itself is `CANNOT_RUN`."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    verdict = CANNOT_RUN
    if not os.path.exists(PROGRAM):
        record.add("cannot_run", cause="target/bin/samphiretray is missing")
    else:
        try:
            verdict = asyncio.run(asyncio.wait_for(main(record, trouble), 115))
        except Exception as failure:  # The record says why the case could not run.
            record.add("cannot_run", cause=repr(failure))
    record.add("verdict", code=verdict, meaning={0: "held", 1: "broken", 2: "could not run"}[verdict])
    print({0: "held", 1: "broken", 2: "could not run"}[verdict])
    raise SystemExit(verdict)
