"""At a quiet hour, requests with a part that crashes engines go on reaching engines for too long.

Each engine that begins to write an answer on a prompt with the part crashes; its callers see their
connection broken before a first byte. Such requests come every 4.5 seconds, at any machine, beside
sound ones that share their caller and their other parts. With TROUBLE=0 the part crashes nothing.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import *  # noqa: E402, F403

ENGINES = 9
SOUND_PER_S = 1
BAD_INTERVAL_S = 4.5
LENGTH_S = 60
BACK_S = 3.0
EVENTS = 20


class Pool:
    """Engines that crash as they begin to write an answer on a prompt with the part."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.engines = []
        self.crashes = []
        self.reached = []

    async def start(self, zone):
        engine = Engine(self.store, self.record, "i-%02d" % len(self.engines), zone, "pool",
                        pause_s=0.05)
        engine.before_event = self.begin
        engine.has_crashed = False
        self.engines.append(engine)
        await engine.start()

    async def begin(self, engine, headers, attempt):
        parts = headers.get("bergamotpitch-prompt-prefix", "").split(",")[:-1]
        if not any(part.startswith("bad1:") for part in parts):
            return
        self.reached.append((now(), attempt))
        if not TROUBLE or engine.has_crashed:
            return
        engine.has_crashed = True
        engine.is_listed = False
        self.crashes.append(now())
        self.record.note("engine", engine.id, "crashes on", attempt)
        asyncio.get_running_loop().call_soon(engine.stop)
        asyncio.create_task(self.replace(engine))
        await asyncio.sleep(1)

    async def replace(self, engine):
        """The engine is back after some seconds, as a new incarnation under a new id."""
        await asyncio.sleep(BACK_S)
        await self.start(engine.zone)
        # Its old entry goes after three heartbeat intervals of silence.
        await asyncio.sleep(3 * HEARTBEAT_S - BACK_S)
        self.store.write("servers/" + engine.id, None)


async def main(record):
    store = Store()
    await store.start()
    store.write("op/config", configuration(7, [route("full", "pool", False, attempts=1, timeout_ms=12000,
                                                  target_ms=600)],
                                           [service("pool")]))
    pool = Pool(store, record)
    for number in range(ENGINES):
        await pool.start(list(ZONES)[number % 3])
    fleet = Fleet(store, record)
    answers = {False: [], True: []}

    async def one(number, is_bad):
        bad = "bad1:150," if is_bad else ""
        machine = fleet.machines[(number * 3 if is_bad else number) % len(fleet.machines)]
        outcome = await ask(fleet, record, "/full/%d" % number, fresh_id(), 12, {
            "Bergamotpitch-Token-Count": "543,%d" % EVENTS,
            "Bergamotpitch-Prompt-Prefix": "aa1:103,%sc%x:200,b%x:240" % (bad, number % 7, number)},
            machine)
        answers[is_bad].append(outcome.status)

    async def send(interval_s, first, is_bad):
        number = first
        while True:
            asyncio.create_task(one(number, is_bad))
            number += 1
            await asyncio.sleep(interval_s)

    try:
        await fleet.start()
        record.say("fleet is ready")
        sound = asyncio.create_task(send(1 / SOUND_PER_S, 1, False))
        await asyncio.sleep(BOUNDS["stable-window-ms"] / 1000 + 1)
        record.say("requests with the part begin")
        bad = asyncio.create_task(send(BAD_INTERVAL_S, 100001, True))
        await asyncio.sleep(LENGTH_S)
        sound.cancel()
        bad.cancel()
        await asyncio.sleep(2)
    finally:
        fleet.close()
    record.say("sound requests:", len(answers[False]), "of which answered 200:",
               answers[False].count(200), "- with the part:", len(answers[True]),
               "of which reached an engine:", len(pool.reached))
    record.say(len(pool.crashes), "engines crashed, at", ["%.1f" % at for at in pool.crashes])
    if len(pool.crashes) < 5:
        record.say("no fifth crash, so that the rule asks nothing")
        return 0
    bound_from = pool.crashes[4] + BOUNDS["stable-window-ms"] / 1000
    late = [(at, attempt) for at, attempt in pool.reached if bound_from < at]
    record.say("fifth crash at %.2f;" % pool.crashes[4], len(late),
               "requests with the part reach engines later than %.2f; the rule allows 3" % bound_from,
               ["%.1f %s" % pair for pair in late])
    return 1 if 3 < len(late) else 0


run_case(os.path.dirname(os.path.abspath(__file__)), main)
