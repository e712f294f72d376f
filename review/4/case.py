"""Machines that started together do not know each other, and a part of prompts crashes engine on engine.

The store's stale reads are 3 s old, as they may be; with TROUBLE=0 they are fresh, and all else is the
same. Ten seconds after the machines have started, requests with a part that crashes engines begin to
come once a second, at any machine, beside sound ones that share their caller and their other parts.
Each engine that begins to write an answer on the part crashes a tenth of a second later.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import *  # noqa: E402, F403

ENGINES = 9
# Traffic starts so long after the machines do.
LEAD_S = 10
SOUND_INTERVAL_S = 0.5
BAD_INTERVAL_S = 1.0
LENGTH_S = 25
BACK_S = 3.0
STALE_S = 3.0 if TROUBLE else 0.0
CRASH_S = 0.1


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
        if not engine.has_crashed:
            engine.has_crashed = True
            asyncio.create_task(self.crash(engine, attempt))

    async def crash(self, engine, attempt):
        """The head and an event or two are out by then; the engine is back after some seconds."""
        await asyncio.sleep(CRASH_S)
        engine.is_listed = False
        self.crashes.append(now())
        self.record.note("engine", engine.id, "crashes on", attempt)
        engine.stop()
        await asyncio.sleep(BACK_S)
        await self.start(engine.zone)
        # Its old entry goes after three heartbeat intervals of silence.
        await asyncio.sleep(3 * HEARTBEAT_S - BACK_S)
        self.store.write("servers/" + engine.id, None)


async def main(record):
    store = Store(stale_s=STALE_S)
    await store.start()
    store.write("op/config", configuration(7, [route("full", "pool", False, attempts=1,
                                                     timeout_ms=12000, target_ms=600)],
                                           [service("pool")]))
    pool = Pool(store, record)
    for number in range(ENGINES):
        await pool.start(list(ZONES)[number % 3])
    # The store and the engines have run for a while.
    await asyncio.sleep(STALE_S + 0.5)
    fleet = Fleet(store, record)
    begun = []

    async def one(number, is_bad):
        bad = "bad1:150," if is_bad else ""
        machine = fleet.machines[number % len(fleet.machines)]
        outcome = await ask(fleet, record, "/full/%d" % number, fresh_id(), 12, {
            "Bergamotpitch-Token-Count": "543,20",
            "Bergamotpitch-Prompt-Prefix": "aa1:103,%sc%x:200,b%x:240" % (bad, number % 7, number)},
            machine)
        if not is_bad:
            begun.append(bool(outcome.events))

    async def send(interval_s, first, is_bad):
        number = first
        while True:
            asyncio.create_task(one(number, is_bad))
            number += 1
            await asyncio.sleep(interval_s)

    try:
        await fleet.start()
        record.say("fleet is ready; stale reads are", STALE_S, "s old")
        await asyncio.sleep(LEAD_S)
        record.say("requests begin")
        sound = asyncio.create_task(send(SOUND_INTERVAL_S, 1, False))
        bad = asyncio.create_task(send(BAD_INTERVAL_S, 100000, True))
        await asyncio.sleep(LENGTH_S)
        sound.cancel()
        bad.cancel()
        await asyncio.sleep(1)
    finally:
        fleet.close()
    record.say(len(pool.crashes), "engines crashed, at", ["%.1f" % at for at in pool.crashes],
               "- of", len(begun), "sound requests", sum(begun), "began")
    if len(pool.crashes) < 5:
        record.say("no fifth crash, so that the rule asks nothing")
        return 2 if TROUBLE else 0
    bound_from = pool.crashes[4] + BOUNDS["stable-window-ms"] / 1000
    late = ["%.1f %s" % (at, attempt) for at, attempt in pool.reached if bound_from < at]
    record.say("fifth crash at %.2f;" % pool.crashes[4], len(late),
               "requests with the part reach engines later than %.2f; the rule allows 3" % bound_from,
               late)
    return 1 if 3 < len(late) else 0


run_case(os.path.dirname(os.path.abspath(__file__)), main)
