"""Trial for an entry, not a case: a removed key is served for seconds after a short silence of the store.

    python3 -B review/trials/silent_store.py

A configuration comes, all machines take it in and wait for the next change. 0.4 s later the store is
down for 0.2 s: calls that wait get no answer, and their connections return nothing further. Right after
it the operator removes a key. Prints how requests with the key fare.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import *  # noqa: E402, F403

SILENT_S = 0.2
SILENT_AFTER_S = 0.4
KEPT, REMOVED = ("office", "key-office"), ("other", "key-other")


class SilentStore(Store):
    """A store that can go silent for a moment."""

    silences = 0
    silent_until = 0.0

    def fall_silent(self):
        self.silences += 1
        self.silent_until = time.monotonic() + SILENT_S

    async def answer(self, method, target, body):
        silences = self.silences
        if time.monotonic() < self.silent_until:
            await asyncio.Event().wait()
        answer = await super().answer(method, target, body)
        if silences != self.silences:
            await asyncio.Event().wait()
        return answer


async def main(record):
    store = SilentStore()
    await store.start()

    def configure(version, tenants):
        store.write("op/config", configuration(version, [route("legal", "pool", True)],
                                               [service("pool")], tenants))

    configure(7, (KEPT, REMOVED))
    for number in range(6):
        await Engine(store, record, "i-%d" % number, list(ZONES)[number % 3], "pool").start()
    fleet = Fleet(store, record)
    statuses = []

    async def one(number):
        sent = now()
        outcome = await ask(fleet, record, "/legal/%d" % number, fresh_id(), 5, {
            "Bergamotpitch-Token-Count": "628,2",
            "Bergamotpitch-Prompt-Prefix": "aa:119,b%x:509" % (number + 1)},
            fleet.machines[number % len(fleet.machines)], key=REMOVED[1])
        statuses.append((sent, outcome.status))

    try:
        await fleet.start()
        await asyncio.sleep(12)
        configure(9, (KEPT, REMOVED))
        await asyncio.sleep(SILENT_AFTER_S)
        store.fall_silent()
        await asyncio.sleep(SILENT_S)
        back = now()
        await asyncio.sleep(0.1)
        configure(12, (KEPT,))
        acknowledged = now()
        for number in range(400):
            asyncio.create_task(one(number))
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
    finally:
        fleet.close()
    bound_from = max(acknowledged + BOUNDS["config-apply-ms"] / 1000,
                     back + BOUNDS["stable-window-ms"] / 1000)
    served = [sent for sent, status in statuses if status == 200]
    late = [sent for sent in served if bound_from < sent]
    record.say("key removed at %.2f, machines in touch from %.2f," %
               (acknowledged, back + BOUNDS["stable-window-ms"] / 1000),
               "last request with it that is served sent at %.2f;" % max(served),
               len(late), "served that were sent after both bounds")
    return 1 if late else 0


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), main)
