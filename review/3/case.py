"""An answer without a length whose connection is reset must not reach the client as a complete answer, also if
the server had begun to answer before it had read the whole request."""

import asyncio
import os
import socket
import struct
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet as lib  # noqa: E402

REQUESTS = 100
BROKEN_SHARE = 0.05
# The largest request body of the site file (req_bytes max), and the sockets of a server on an ordinary network:
# segments of 1,460 bytes and a small window.
BODY = b"p" * 110000
SEGMENT = 1460
WINDOW = 4096


class EarlyEngine:
    """Serves streams on an engine's address: it reads the head, answers without a length, and reads the body
    after its first events."""

    def __init__(self, fleet, engine, counts, broken):
        self.fleet, self.engine, self.counts, self.broken = fleet, engine, counts, broken

    async def listen(self):
        await self.engine.close()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        listening.bind(self.engine.address)
        # The reader keeps at most twice this limit, and stops reading from its socket beyond that.
        self.engine.server = await asyncio.start_server(self.serve, sock=listening, limit=2048)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
                headers = [(key.lower(), value) for key, value in headers]
                request = lib.Request(method, target, headers, b"")
                length = int(request.header("content-length", "0"))
                if request.path.startswith("/v1/"):
                    request.body = await reader.readexactly(length)
                    await self.engine.handle(request, reader, writer)
                    await writer.drain()
                    continue
                await self.stream(request, length, reader, writer)
                break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def stream(self, request, length, reader, writer):
        engine, attempt = self.engine, request.header("x-samphiretray-attempt-id")
        engine.note_run(request)
        self.counts["answers"] += 1
        is_broken = lib.TROUBLE and self.counts["answers"] % round(1 / BROKEN_SHARE) == 0
        writer.write(engine.stream_head(request, [("connection", "close")]))
        for number in range(1, 4):
            writer.write(engine.event(attempt, number))
        await writer.drain()
        await asyncio.sleep(0.2)
        if is_broken:
            self.broken.add(attempt)
            self.fleet.record(f"server {engine.name} resets {attempt} after three of {engine.events} events")
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                       struct.pack("ii", 1, 0))
            writer.transport.abort()
            return
        while length > 0:
            length -= len(await reader.read(min(length, 4096)))
        for number in range(4, engine.events + 1):
            writer.write(engine.event(attempt, number))
            await writer.drain()
            await asyncio.sleep(0.01)


async def play(fleet):
    counts, broken = {"answers": 0}, set()
    for engine in fleet.engines:
        await EarlyEngine(fleet, engine, counts, broken).listen()
    violations, good = [], []

    async def one(number):
        client = lib.Client(fleet, fleet.entries[number % len(fleet.entries)].address)
        answer = await client.send("POST", "/pole/1", lib.stream_headers(), BODY, 5000)
        client.close()
        whole = fleet.engines[0].whole(answer.attempt)
        if answer.complete and answer.status == 200 and answer.body == whole:
            good.append(answer.attempt)
        elif answer.complete and answer.status == 200:
            violations.append(f"MIXED: {answer.attempt} looks complete to its client, with status 200 and "
                              f"{len(answer.body)} of {len(whole)} bytes; its server reset the connection")

    jobs = []
    for number in range(REQUESTS):
        jobs.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*jobs)
    fleet.record(f"{len(good)} whole answers, {len(broken)} of {counts['answers']} answers were reset")
    if len(good) < REQUESTS // 2:
        raise RuntimeError(f"only {len(good)} of {REQUESTS} requests got a whole answer")
    return violations


if __name__ == "__main__":
    lib.main(__file__, play)
