"""A stream whose server ends inside the first event must not reach the client as a complete answer."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet as lib  # noqa: E402

REQUESTS = 100
# garble with how = "unframed" breaks off or spoils x = 0.05 of the answers.
BROKEN_SHARE = 0.05


async def play(fleet):
    broken = set()
    unframed = {"count": 0}

    async def behave(engine, request, writer):
        """Answers without a length, ended by the connection; one in 20 breaks off inside its first event."""
        attempt = request.header("x-samphiretray-attempt-id")
        engine.note_run(request)
        unframed["count"] += 1
        is_broken = lib.TROUBLE and unframed["count"] % round(1 / BROKEN_SHARE) == 0
        await asyncio.sleep(engine.first_s)
        writer.write(engine.stream_head(request, [("connection", "close")]))
        if is_broken:
            broken.add(attempt)
            piece = engine.event(attempt, 1)
            cut = piece[:len(piece) - 8]
            fleet.record(f"server {engine.name} ends {attempt} inside its first event, after {len(cut)} bytes")
            writer.write(cut)
            await writer.drain()
            return False
        for number in range(int(request.header("last-event-id", "0") or "0") + 1, engine.events + 1):
            writer.write(engine.event(attempt, number))
            await writer.drain()
            await asyncio.sleep(engine.gap_s)
        return False

    for engine in fleet.engines:
        engine.behave = behave

    violations = []

    async def one(number):
        entry = fleet.entries[number % len(fleet.entries)]
        path = ("/pole/1", "/ask/1", "/splint/1")[number % 3]
        client = lib.Client(fleet, entry.address)
        answer = await client.send("POST", path, lib.stream_headers(), b"draft", 5000)
        client.close()
        whole = fleet.engines[0].whole(answer.attempt)
        if answer.complete and answer.status == 200 and answer.body != whole:
            violations.append(f"MIXED: {answer.attempt} ({path}) looks complete to its client, with status 200 "
                              f"and {len(answer.body)} of {len(whole)} bytes")

    jobs = []
    for number in range(REQUESTS):
        jobs.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*jobs)
    fleet.record(f"{len(broken)} of {unframed['count']} answers were broken off inside their first event")
    return violations


if __name__ == "__main__":
    lib.main(__file__, play)
