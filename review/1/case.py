"""Streams of version v1 are taken up at version v2 after all processes were killed in a release."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import *  # noqa: E402, F403

EVENTS = 100
DEADLINE_S = 10.0
DOWN_S = 1.1


class Stream:
    """One stream of a client over all its tries."""

    def __init__(self):
        self.first_attempt = None
        self.versions = []
        self.last = 0
        self.is_complete = False
        self.tries = 0


async def follow(fleet, record, stream, number):
    """Sends a request, and takes its stream up again where its connection broke."""
    deadline = time.monotonic() + DEADLINE_S
    while time.monotonic() < deadline and stream.tries < 6:
        stream.tries += 1
        attempt = fresh_id()
        headers = {"Bergamotpitch-Token-Count": "628,%d" % EVENTS,
                   "Bergamotpitch-Prompt-Prefix": "aa%x:119,b%x:509" % (number % 5, number + 1)}
        if stream.first_attempt:
            headers.update({"Resumes": stream.first_attempt, "Last-Event-Id": stream.last})
        outcome = await ask(fleet, record, "/legal/%d" % number, attempt,
                            deadline - time.monotonic(), headers)
        for event, data in outcome.events:
            stream.first_attempt = stream.first_attempt or attempt
            stream.last = event
            version = data.split(" ")[0]
            if version not in stream.versions:
                stream.versions.append(version)
        if outcome.status == 200 and outcome.is_complete:
            stream.is_complete = True
            return
        retry_after = float(outcome.headers.get("retry-after", 0.4))
        await asyncio.sleep(min(retry_after, (deadline - time.monotonic()) / 3))


async def main(record):
    store = Store()
    await store.start()
    store.write("op/config", configuration(7, [route("legal", "pool", True)], [service("pool")]))
    zones = list(ZONES)
    old = [Engine(store, record, "i-old%d" % n, zones[n % 3], "pool", "v1") for n in range(4)]
    for engine in old:
        await engine.start()
    fleet = Fleet(store, record)
    streams, tasks = [], []

    async def load():
        while True:
            streams.append(Stream())
            tasks.append(asyncio.create_task(
                follow(fleet, record, streams[-1], len(streams))))
            await asyncio.sleep(0.1)

    try:
        await fleet.start()
        record.say("fleet is ready")
        loading = asyncio.create_task(load())
        await asyncio.sleep(2)
        # The release: one after the other, the new one starts first.
        leaving = []
        for number, engine in enumerate(old):
            await asyncio.sleep(1)
            fresh = Engine(store, record, "i-new%d" % number, engine.zone, "pool", "v2")
            await fresh.start()
            await asyncio.sleep(0.3)
            leaving.append(asyncio.create_task(engine.leave()))
        await asyncio.sleep(1.9)
        if TROUBLE:
            record.say("all processes are killed; they start again after", DOWN_S, "s")
            for machine in fleet.machines:
                machine.kill()
            await asyncio.sleep(DOWN_S)
            for machine in fleet.machines:
                machine.start()
        await asyncio.gather(*leaving)
        loading.cancel()
        await asyncio.gather(*tasks)
    finally:
        fleet.close()
    joined = [stream for stream in streams if 1 < len(stream.versions)]
    for stream in joined:
        record.note("joined stream", stream.first_attempt, stream.versions)
    complete = sum(stream.is_complete for stream in streams)
    record.say(len(streams), "streams,", complete, "complete,",
               sum(1 < stream.tries for stream in streams), "tried again,",
               len(joined), "hold events of two versions; the rule allows 2")
    if complete < len(streams) / 4:
        return 2
    return 1 if 2 < len(joined) else 0


run_case(os.path.dirname(os.path.abspath(__file__)), main)
