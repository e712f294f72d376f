"""A rolling restart, while engines of two software versions serve, loses the streams that it cuts.

All machines get SIGTERM in turn, one a second, and start again when they have ended. The streams that a
machine still has at the end of its grace are taken up by their clients at other machines. With
TROUBLE=0 no machine is stopped: instead the connections of some of the clients are reset.
"""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import *  # noqa: E402, F403

DEADLINE_S = 15.0
STREAMS_PER_S = 25
# roll_term in further/naitus-ruuter.toml: all machines, x = 1 at a time, gap_s = 1.0.
GAP_S = 1.0
RESTART_S = 0.3
PAUSE_S = 0.5
TRIES = 6


class Stream:
    """One stream of a client over all its tries."""

    def __init__(self, number):
        self.number = number
        # label-draft: 91.5 events on average, 216 at most.
        self.events = min(216, int(random.lognormvariate(4.27, 0.7)) + 1)
        self.first_attempt = None
        self.first_in_touch = None
        self.last = 0
        self.writer = None
        self.tries_in_touch = 0
        self.has_gone_on = False


def is_in_touch(machine):
    return machine.calm_since + BOUNDS["stable-window-ms"] / 1000 < now()


async def follow(fleet, record, stream):
    deadline = time.monotonic() + DEADLINE_S
    for number in range(TRIES):
        attempt = fresh_id()
        headers = {"Bergamotpitch-Token-Count": "543,%d" % stream.events,
                   "Bergamotpitch-Prompt-Prefix":
                       "aa%x:103,b%x:440" % (stream.number % 5, stream.number + 1)}
        is_taken_up = stream.first_attempt is not None
        if is_taken_up:
            headers.update({"Resumes": stream.first_attempt, "Last-Event-Id": stream.last})
        machine = fleet.pick()
        in_touch = is_in_touch(machine)

        def opened(writer):
            stream.writer = writer

        outcome = await ask(fleet, record, "/label/%d" % stream.number, attempt,
                            deadline - time.monotonic(), headers, machine, on_open=opened)
        stream.writer = None
        if number == 0 and in_touch:
            stream.first_in_touch = bool(outcome.events)
        if outcome.events:
            stream.first_attempt = stream.first_attempt or attempt
            stream.last = outcome.events[-1][0]
        if is_taken_up and outcome.status is not None:
            stream.tries_in_touch += in_touch
            stream.has_gone_on |= bool(outcome.events)
        left = deadline - time.monotonic()
        if outcome.status == 200 and outcome.is_complete or left < 0.2:
            return
        retry_after = float(outcome.headers.get("retry-after", PAUSE_S))
        await asyncio.sleep(min(retry_after, left / 3))


async def restart(record, machine):
    machine.calm_since = float("inf")
    machine.process.send_signal(signal.SIGTERM)
    began = now()
    while machine.process.poll() is None and now() < began + BOUNDS["grace-s"]:
        await asyncio.sleep(0.02)
    if machine.process.poll() is None:
        machine.kill()
    record.say(machine.name, "got SIGTERM at %.1f and ended %.1f s later" % (began, now() - began))
    machine.is_ready = False
    await asyncio.sleep(RESTART_S)
    machine.start()
    machine.calm_since = now()


async def main(record):
    use_site("naitus-ruuter")
    random.seed(5)
    store = Store()
    await store.start()
    store.write("op/config", configuration(7, [
        route("label", "pool", True, timeout_ms=15000, target_ms=1200)], [service("pool")]))
    engines = [Engine(store, record, "i-%s%d" % (version, n), list(ZONES)[n % 3], "pool", version)
               for version in ("v1", "v2") for n in range(6)]
    for engine in engines:
        await engine.start()
    fleet = Fleet(store, record)
    streams, tasks = [], []

    async def load():
        while True:
            streams.append(Stream(len(streams)))
            tasks.append(asyncio.create_task(follow(fleet, record, streams[-1])))
            await asyncio.sleep(1 / STREAMS_PER_S)

    try:
        await fleet.start()
        for machine in fleet.machines:
            machine.calm_since = now()
        record.say("fleet is ready")
        await asyncio.sleep(BOUNDS["stable-window-ms"] / 1000 + 0.5)
        loading = asyncio.create_task(load())
        await asyncio.sleep(8)
        if TROUBLE:
            restarts = []
            for machine in fleet.machines:
                restarts.append(asyncio.create_task(restart(record, machine)))
                await asyncio.sleep(GAP_S)
            await asyncio.gather(*restarts)
        else:
            await asyncio.sleep(6)
            running = [stream for stream in streams if stream.writer and stream.first_attempt is None]
            for stream in running[::3]:
                abort(stream.writer)
            await asyncio.sleep(9)
        await asyncio.sleep(5)
        loading.cancel()
        await asyncio.gather(*tasks)
    finally:
        fleet.close()
    new = [stream.first_in_touch for stream in streams if stream.first_in_touch is not None]
    begun = sum(new) / len(new)
    taken = [stream for stream in streams if stream.tries_in_touch]
    share = sum(stream.has_gone_on for stream in taken) / max(1, len(taken))
    record.say(len(streams), "streams; new ones at machines in touch that begin: %.2f;" % begun,
               len(taken), "taken up at machines in touch, of which go on: %.2f;" % share,
               "the rule asks for %.2f" % (begun / 2))
    if len(taken) < 12 or begun < 0.5:
        return 2
    return 1 if share < begun / 2 else 0


run_case(os.path.dirname(os.path.abspath(__file__)), main)
