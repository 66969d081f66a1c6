"""A prompt part crashes each server that begins to write an answer on it. The sound requests of the route have
the same other parts, and had paused for a few seconds when the crashes came."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import rig

POISON = os.environ.get("POISON", "dead0001")
SHARED = [("5c1e07a2", 119), ("91bd3f06", 79)]
SOUND_PER_S, POISON_PER_S = 3, 8
BASELINE_S, LULL_S, POISON_S = 15, 7, 20


class World(rig.World):
    fifth_crash = None
    crashes = 0

    async def on_run(self, server, head, body):
        if self.trouble and POISON in head.get("x-samphiretray-prompt-prefix"):
            self.crashes += 1
            if self.crashes == 5:
                self.fifth_crash = rig.now()
                self.note("fifth_crash")
            return "crash"
        return None


def own_part():
    return (f"{random.getrandbits(32):08x}", 150)


async def play(world):
    sound = []

    def send(kind, parts):
        return world.spawn(world.ask(random.choice(world.entries), "/ask/q", parts=parts + [own_part()],
                                     body=random.randbytes(600), output=10, kind=kind))

    async def traffic(kind, parts, per_s, into):
        while True:
            into.append((rig.now(), send(kind, parts)))
            await asyncio.sleep(1 / per_s)

    requests = world.spawn(traffic("sound", SHARED, SOUND_PER_S, sound))
    await asyncio.sleep(BASELINE_S)
    requests.cancel()
    world.note("lull", seconds=LULL_S)
    await asyncio.sleep(LULL_S)
    poison_began = rig.now()
    world.note("poison")
    poison = world.spawn(traffic("poison", SHARED + [(POISON, 50)], POISON_PER_S, []))
    await asyncio.sleep(2)
    requests = world.spawn(traffic("sound", SHARED, SOUND_PER_S, sound))
    await asyncio.sleep(POISON_S - 2)
    poison.cancel()
    poison_ended = rig.now()
    requests.cancel()
    await asyncio.sleep(5)
    if world.trouble and world.fifth_crash is None:
        raise rig.CannotRun("the part did not crash five servers")

    def begun(since, until):
        answers = [task.result() for at, task in sound if since <= at < until and task.done()]
        return sum(each.status == 200 and bool(each.events()) for each in answers), len(answers)

    before = begun(0, poison_began)
    since = (world.fifth_crash or poison_began) + 2 * rig.BOUNDS["contactMs"] / 1000
    during = begun(since, poison_ended)
    if min(before[1], during[1]) < 20:
        raise rig.CannotRun(f"too few sound requests: {before}, {during}")
    broken = during[0] / during[1] < 0.5 * before[0] / before[1]
    return broken, [f"crashes: {world.crashes}; sound requests that began at their first attempt: {before[0]} of "
                    f"{before[1]} before, {during[0]} of {during[1]} from 2 x contactMs after the fifth crash on"]


rig.run_case(lambda folder, trouble: World(folder, entries=5, engines=9, trouble=trouble), play)
