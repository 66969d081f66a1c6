"""The only entry is killed and started again; then impatient clients take their streams up, each more than once.

Two requests in one turn of the event loop that take up the same stream, while the entry knows no other process to
ask about it, end the entry with a segmentation fault.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import standins as s  # noqa: E402

ZONES = {"north-a": "north"}
ENTRY = "127.0.71.1"
DESKS = {"i-da": "127.0.72.1", "i-db": "127.0.72.2", "i-dc": "127.0.72.3"}
ORDERS = {"i-oa": "127.0.73.1", "i-ob": "127.0.73.2", "i-oc": "127.0.73.3"}
STORE = "127.0.74.1"
SLOTS = 16
CONTACT_MS = 4000
DEADLINE_MS = 15000
STREAMS = 30
EVENTS = 120
EVENT_S = 0.1
# `retry_abuse`: share .3 of the clients repeat 3 more times, at once.
IMPATIENT = 9
REPEATS = 3
ORDER_CLIENTS = 10
ORDER_WORK_S = 0.2
# The platform starts a killed process again after a short delay.
RESTART_S = 0.5
# The clients come back this long after their streams were broken off.
COME_BACK_S = 6.0


class Server(s.HttpServer):
    def __init__(self, record, store, identity, host, port, service):
        super().__init__(host, port)
        self.record = record
        self.identity = identity
        self.service = service
        self.born = int(time.time() * 1000)
        self.running = 0
        self.ran = set()
        self.registration = s.Registration(store, identity, self.describe)

    def describe(self):
        return {"service": self.service, "address": self.address, "zone": "north-a", "version": "1", "slots": SLOTS,
                "state": "ready", "coldMs": 0, "born": self.born}

    def drops_work(self):
        return self.service == "desk"

    async def handle(self, request, exchange):
        attempt = request.header("x-samphiretray-attempt-id")
        named = request.header("x-samphiretray-expect-instance")
        headers = {"x-samphiretray-attempt-id": attempt}
        if named and named != self.identity:
            exchange.send(421, {**headers, "x-samphiretray-not-executed": "1"})
            return
        if self.running >= SLOTS:
            exchange.send(503, {**headers, "x-samphiretray-not-executed": "1"})
            return
        self.running += 1
        self.ran.add(attempt)
        headers["x-samphiretray-server-seal"] = f"{self.identity}.{attempt}"
        try:
            if self.service == "orders":
                await asyncio.sleep(ORDER_WORK_S)
                exchange.send(200, headers, b"order " + attempt.encode())
                return
            first = int(request.header("last-event-id") or "0") + 1
            exchange.keep = False
            exchange.start_chunked(200, {**headers, "content-type": "text/event-stream", "connection": "close"})
            for number in range(first, EVENTS + 1):
                exchange.write_chunk(f"id: {number}\ndata: event={number}\n\n".encode())
                await asyncio.sleep(EVENT_S)
            exchange.end_chunked()
        finally:
            self.running -= 1


def configuration():
    def route(name, prefix, kind, service, resumable):
        return {"name": name, "hostname": "desk.example", "prefix": prefix, "kind": kind, "timeoutMs": DEADLINE_MS,
                "targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": 2 if resumable else 1,
                "public": False, "sticky": False, "resumable": resumable, "targetGapMs": 300}
    return {
        "version": 3,
        "routes": [route("drafts", "/d/", "streaming", "desk", True), route("orders", "/o/", "unsafe", "orders", False)],
        "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}
                     for name in ("desk", "orders")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "coop", "apiKeys": ["key-of-coop"], "priority": 1, "unit": "token_metered",
                     "plainTokens": 200, "ratePerS": 83540, "burst": 83540}],
    }


def common_headers(attempt):
    return {"host": "desk.example", "x-samphiretray-attempt-id": attempt,
            "x-samphiretray-deadline-ms": str(DEADLINE_MS), "x-samphiretray-credential": "key-of-coop"}


async def ask_for_stream(record, fleet, number, last, begun_by):
    attempt = f"{number:04x}{os.urandom(4).hex()}"
    headers = common_headers(attempt)
    if last:
        headers.update({"last-event-id": str(last), "resumes": begun_by})
    record.add("sent", attempt=attempt, stream=number, last_event=last, resumes=begun_by)
    answer = await s.call_stream(ENTRY, fleet.ports["front"], f"/d/{number}", headers, body=b"draft %d" % number)
    record.add("answered", attempt=attempt, stream=number, status=answer.status, events=len(answer.events),
               complete=answer.complete, retry_after=answer.headers.get("retry-after", ""))
    return attempt, answer


async def stream_client(record, fleet, number):
    attempt, answer = await ask_for_stream(record, fleet, number, 0, "")
    if answer.complete or not answer.events:
        return
    await asyncio.sleep(COME_BACK_S)
    last = int(answer.events[-1].split("\n")[0].split(": ")[1])
    copies = 1 + (REPEATS if number < IMPATIENT else 0)
    await asyncio.gather(*[ask_for_stream(record, fleet, number, last, attempt) for _ in range(copies)])


async def order_client(record, fleet, number, ends, outcome):
    """Places one order after the other on one connection, until `ends`."""
    writer = None
    sent_on_connection = 0
    while time.monotonic() < ends:
        attempt = f"0{number:02x}{os.urandom(4).hex()}"
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(ENTRY, fleet.ports["front"])
                sent_on_connection = 0
            sent_on_connection += 1
            lines = ["POST /o/place HTTP/1.1"] + [f"{k}: {v}" for k, v in common_headers(attempt).items()]
            record.add("order_sent", attempt=attempt, request_on_connection=sent_on_connection)
            writer.write(("\r\n".join(lines) + "\r\ncontent-length: 5\r\n\r\norder").encode())
            message = await s.read_message(reader)
            if message is None:
                raise ConnectionError("closed without an answer")
            await s.read_body(reader, message[1])
            outcome[attempt] = (int(message[0].split(" ")[1]), sent_on_connection)
            record.add("order_answered", attempt=attempt, status=outcome[attempt][0])
        except (OSError, asyncio.IncompleteReadError) as failure:
            if writer is not None:
                writer.close()
                outcome[attempt] = (0, sent_on_connection)
                record.add("order_not_answered", attempt=attempt, cause=str(failure))
            writer = None
            await asyncio.sleep(0.3)
    if writer is not None:
        writer.close()


async def main(record, trouble):
    store = s.Store(STORE, s.free_port([STORE]))
    await store.listen()
    tasks = [asyncio.ensure_future(store.keep_time())]
    fleet = s.Fleet(record, store.address, ZONES)
    fleet.choose_ports([ENTRY])
    servers = [Server(record, store, identity, host, s.free_port([host]), service)
               for service, hosts in (("desk", DESKS), ("orders", ORDERS)) for identity, host in hosts.items()]
    settings = fleet.entry_settings("front-1", ENTRY, "north-a")
    try:
        store.put("op/config", configuration())
        for server in servers:
            await server.listen()
            tasks.append(asyncio.ensure_future(server.registration.run()))
        fleet.start("front-1", "gateway", settings)
        if not await s.wait_until_ready(fleet, [ENTRY]):
            return s.CANNOT_RUN
        await asyncio.sleep(1.0)
        clients = [asyncio.ensure_future(stream_client(record, fleet, number)) for number in range(STREAMS)]
        await asyncio.sleep(2.0)
        if trouble:
            fleet.signal("front-1", signal.SIGKILL)
            fleet.children["front-1"].wait()
            await asyncio.sleep(RESTART_S)
            fleet.start("front-1", "gateway", settings)
            if not await s.wait_until_ready(fleet, [ENTRY]):
                return s.CANNOT_RUN
        back_at = time.monotonic()
        outcome = {}
        orders = [asyncio.ensure_future(order_client(record, fleet, number, back_at + 8.0, outcome))
                  for number in range(ORDER_CLIENTS)]
        ended_after_ms, code = None, None
        while time.monotonic() < back_at + 9.0:
            if ended_after_ms is None and fleet.children["front-1"].poll() is not None:
                ended_after_ms = round((time.monotonic() - back_at) * 1000)
                code = fleet.children["front-1"].returncode
                record.add("process_ended_by_itself", name="front-1", code=code, ms_after_it_was_back=ended_after_ms)
                await asyncio.sleep(0.2)
                break
            await asyncio.sleep(0.02)
        for each in orders:
            each.cancel()
        await asyncio.gather(*orders, return_exceptions=True)
        for each in clients:
            if ended_after_ms is not None:
                each.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        ran = set().union(*[server.ran for server in servers])
        lost = [attempt for attempt, (status, count) in outcome.items() if status == 0 and count > 1 and attempt in ran]
        record.add("result", orders=len(outcome), orders_run_and_cut_on_kept_connections=len(lost),
                   process_ended_by_itself=code, ms_in_touch_before=ended_after_ms)
        if not any(status == 200 for status, _ in outcome.values()):
            return s.CANNOT_RUN
        # The rule allows three; the machine is in touch `contactMs` after its start.
        return s.BROKEN if len(lost) > 3 and (ended_after_ms or 0) > CONTACT_MS else s.HOLDS
    finally:
        fleet.close()
        for task in tasks:
            task.cancel()


s.run_case(FOLDER, main)
