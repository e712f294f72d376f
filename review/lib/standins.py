"""Stand-ins of the platform's store, of engines and of clients, and the start of a small fleet.

Everything runs on loopback addresses and on the real clock, with Python's standard library alone.
The router is the project's own program, started with the command of deploy/system.toml and with
settings that have the fields of deploy/settings.template.jsonc.
"""

import asyncio
import atexit
import base64
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Places and sizes of the site files vbc-router.toml and naitus-ruuter.toml; both have these bounds.
SITES = {
    "vbc-router": {"zones": {"randstad-a": "randstad", "noord-oost-a": "noord-oost",
                             "zuid-a": "zuid"},
                   "machines": 8, "retry_fixed": 56, "connections": 370, "tokens": 528578},
    "naitus-ruuter": {"zones": {"harju-a": "harju", "tartu-a": "tartu", "parnu-a": "parnu"},
                      "machines": 7, "retry_fixed": 54, "connections": 360, "tokens": 231906},
}
SITE = dict(SITES["vbc-router"])
ZONES = dict(SITE["zones"])
BOUNDS = {"drain-ms": 2500, "grace-s": 8, "stable-window-ms": 4000, "config-apply-ms": 2500}
HOST = "orders.example"
HEARTBEAT_S = 1.2

STARTED = time.monotonic()

# Exit status of a case whose rule was broken.
BROKEN = 10


def use_site(name):
    """Takes places and sizes of another site file."""
    SITE.update(SITES[name])
    ZONES.clear()
    ZONES.update(SITE["zones"])


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, *words):
        self.file.write("%8.3f %s\n" % (now(), " ".join(str(word) for word in words)))

    def say(self, *words):
        self.note(*words)
        print("%8.3f" % now(), *words, flush=True)

    def close(self):
        self.file.close()


def free_port(ip):
    """A port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
                return port
            except OSError:
                continue


# ---------------------------------------------------------------------------------------- HTTP

class Closed(Exception):
    """The other side closed the connection."""


async def read_head(reader):
    """The start line and the headers, names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Closed("within a head")
        return None
    except OSError as error:
        raise Closed(str(error))
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """One chunk of a body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        return data[:-2]
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Closed(str(error))


async def read_body(reader, headers):
    """A whole body of a request or of an answer."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed(str(error))


def head_of(status, headers):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 500: "Internal Server Error",
               503: "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % pair for pair in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def abort(writer):
    """Resets a connection."""
    transport = writer.transport
    sock = transport.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    transport.abort()


# --------------------------------------------------------------------------------------- store

class Store:
    """The platform's metadata store, as PROTOCOL.md tells it."""

    def __init__(self, stale_s=0.0):
        # How old the answers are that may be stale; they may be seconds old.
        self.stale_s = stale_s
        self.past = []
        self.revision = 100
        self.items = {}
        self.changes = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        asyncio.create_task(self.end_leases())
        if self.stale_s:
            asyncio.create_task(self.keep_past())

    async def keep_past(self):
        while True:
            self.past.append((time.monotonic(), dict(self.items), self.revision))
            while self.past[1:] and self.past[1][0] < time.monotonic() - self.stale_s:
                self.past.pop(0)
            await asyncio.sleep(0.05)

    def write(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            if self.items.pop(key, None) is None:
                return
            self.changes.append({"key": key, "revision": self.revision, "deleted": True})
        else:
            created = self.items.get(key, {}).get("created-rev", self.revision)
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision, "created-rev": created, "lease": lease}
            self.items[key] = item
            self.changes.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def end_leases(self):
        while True:
            await asyncio.sleep(0.2)
            for lease, (_, until) in list(self.leases.items()):
                if until < time.monotonic():
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.write(key, None)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, document = await self.answer(method, target, body)
                data = json.dumps(document).encode()
                # A store's answer takes 4 ms.
                await asyncio.sleep(0.004)
                writer.write(head_of(status, {"Content-Type": "application/json",
                                              "Content-Length": len(data)}) + data)
                await writer.drain()
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if method == "GET" and path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if method == "GET" and path == "/api/kv-range":
            after, prefix = query.get("after", ""), query["prefix"]
            known, revision = self.items, self.revision
            if query.get("allow-stale") == "1" and self.past:
                _, known, revision = self.past[0]
            keys = sorted(key for key in known if key.startswith(prefix) and after < key)
            items = [known[key] for key in keys[:50]]
            return 200, {"items": items, "more-pages": 50 < len(keys), "store-revision": revision}
        if method == "GET" and path == "/api/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait-ms"]) / 1000)
        if method == "POST" and path == "/api/kv-txn":
            document = json.loads(body)
            for row in document.get("precondition", []):
                known = self.items.get(row["key"], {}).get("revision", 0)
                if known != row["revision"]:
                    return 412, {"items": []}
            writes = document.get("writes", [])
            for row in writes:
                if row["lease"] and row["lease"] not in self.leases:
                    return 404, {}
                if row["key"].startswith(("op/", "servers/")):
                    return 403, {}
            for row in writes:
                self.write(row["key"], base64.b64decode(row["value"]), row["lease"])
            for key in document.get("remove", []):
                self.write(key, None)
            return 200, {"revision": self.revision}
        if method == "POST" and path == "/api/kv-lease":
            self.last_lease += 1
            ttl = max(1000, json.loads(body)["ttl-ms"])
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl-ms": ttl}
        if method == "POST" and path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if method == "DELETE" and path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [change for change in self.changes
                      if after < change["revision"] and change["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# -------------------------------------------------------------------------------------- engines

class Engine:
    """A model engine: it registers, streams events, and leaves when it is told to."""

    def __init__(self, store, record, engine_id, zone, service, version="v1", weights=1,
                 slots=64, pause_s=0.07, first_s=0.05):
        self.store, self.record = store, record
        self.id, self.zone, self.service = engine_id, zone, service
        self.version, self.weights, self.slots = version, weights, slots
        self.pause_s, self.first_s = pause_s, first_s
        self.running = 0
        self.state = "ready"
        self.is_listed = False
        self.seq = 0
        self.writers = set()
        self.tasks = set()
        self.server = None
        self.beating = None
        # Called with the request's headers before its first event; it may end the engine, or return
        # "fail" for an answer 500.
        self.before_event = None
        # The connections on which attempts are streamed.
        self.streams = {}

    async def start(self, port=0):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.is_listed = True
        self.register()
        self.beating = asyncio.create_task(self.beat())
        self.record.note("engine", self.id, self.version, "starts at", self.address)

    def register(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "cold-left-ms": 0, "stage": "both",
                 "models": [{"name": "m", "version": self.weights, "adapters": []}],
                 "seq": self.seq, "born": self.born}
        self.store.write("servers/" + self.id, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            key = "servers/" + self.id
            if self.is_listed and key not in self.store.items:
                self.register()

    async def leave(self, linger_s=0.3):
        """Reports `draining`, serves on for drain-ms and a little longer, and exits."""
        self.state = "draining"
        self.register()
        self.record.say("engine", self.id, self.version, "reports draining")
        await asyncio.sleep(BOUNDS["drain-ms"] / 1000 + linger_s)
        # One that still has work goes on for a while: at times many seconds.
        until = time.monotonic() + 10
        while self.running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.store.write("servers/" + self.id, None)
        self.is_listed = False
        self.stop()
        self.record.say("engine", self.id, self.version, "has left; its entry is removed")

    def stop(self):
        """The process is gone: its port refuses, its connections are reset."""
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            abort(writer)
        self.writers.clear()
        self.running = 0

    async def accept(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                await read_body(reader, headers)
                await self.answer(line, headers, writer, reader)
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    async def reply(self, writer, status, headers, body=b""):
        headers = {"Bergamotpitch-Instance-Id": self.id, "Bergamotpitch-Engine-Load": self.load(),
                   **headers, "Content-Length": len(body)}
        writer.write(head_of(status, headers) + body)
        await writer.drain()

    async def answer(self, line, headers, writer, reader):
        method, target, _ = line.split(" ")
        if target == "/health":
            return await self.reply(writer, 200 if self.state == "ready" else 503, {})
        attempt = headers.get("bergamotpitch-attempt-id", "")
        echo = {"Bergamotpitch-Attempt-Id": attempt}
        if headers.get("bergamotpitch-expect-instance", self.id) != self.id:
            self.record.note("engine", self.id, "rejects", attempt, "421 instance")
            return await self.reply(writer, 421, {**echo, "Bergamotpitch-Not-Executed": "1"})
        expected = headers.get("bergamotpitch-expect-version")
        if expected is not None and expected != str(self.weights):
            self.record.note("engine", self.id, "rejects", attempt, "421 weights", self.weights,
                             "and not", expected)
            return await self.reply(writer, 421, {**echo, "Bergamotpitch-Not-Executed": "1"})
        if self.slots <= self.running:
            return await self.reply(writer, 503, {**echo, "Bergamotpitch-Not-Executed": "1"})
        self.running += 1
        try:
            await self.stream(target, headers, attempt, writer, reader)
        finally:
            self.running = max(0, self.running - 1)

    async def stream(self, target, headers, attempt, writer, reader):
        events = int(headers["bergamotpitch-token-count"].split(",")[1])
        after = int(headers.get("last-event-id") or 0)
        self.record.note("engine", self.id, self.version, "gets", attempt, "after", after)
        await asyncio.sleep(self.first_s)
        if self.before_event and await self.before_event(self, headers, attempt) == "fail":
            self.record.note("engine", self.id, self.version, "fails", attempt, "500")
            return await self.reply(writer, 500, {
                "Bergamotpitch-Attempt-Id": attempt,
                "Bergamotpitch-Server-Seal": "%s.%s" % (self.id, attempt)}, b"error")
        self.streams[attempt] = writer
        writer.write(head_of(200, {
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
            "Bergamotpitch-Attempt-Id": attempt, "Bergamotpitch-Engine-Load": self.load(),
            "Bergamotpitch-Server-Seal": "%s.%s" % (self.id, attempt),
            "Bergamotpitch-Weight-Versions": self.weights}))
        self.record.note("engine", self.id, self.version, "runs", attempt, "after", after)
        for event in range(after + 1, events + 1):
            text = "id: %d\ndata: %s %s %d\n\n" % (event, self.version, self.id, event)
            data = text.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if writer.is_closing() or reader.at_eof():
                raise Closed("the caller left")
            if event < events:
                await asyncio.sleep(self.pause_s)
        self.streams.pop(attempt, None)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# -------------------------------------------------------------------------------------- machines

class Machine:
    """One entry instance."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.name = "front-%s-%d" % (zone, number)
        self.ip = "127.7.%d.%d" % (os.getpid() % 250 + 1, number + 1)
        self.ports = {name: free_port(self.ip) for name in
                      ("caller", "ready", "seed", "fleet", "metrics")}
        self.process = None
        self.starts = 0
        self.is_ready = False

    def address(self, name):
        return "%s:%d" % (self.ip, self.ports[name])

    def settings(self):
        """The fields of deploy/settings.template.jsonc."""
        fleet = self.fleet
        return {
            "instance": self.name, "domain": self.zone, "regions": ZONES,
            "caller_address": self.address("caller"), "ready_address": self.address("ready"),
            "seed_address": self.address("seed"), "beat_address": self.address("fleet"),
            "relay_address": self.address("fleet"), "metrics_address": self.address("metrics"),
            "seed_addresses": [seed.address("seed") for seed in fleet.machines[::3][:3]],
            "store_address": fleet.store.address, "descriptors_max": 4100,
            "processor_share": 0.25, "processor_cores": 1, "memory_mb": 110,
            "is_fleet_start": self.starts == 0, "grace_s": BOUNDS["grace-s"],
            "retry_ratio": 0.2, "retry_fixed": SITE["retry_fixed"], "retry_window_s": 10, "team_window_s": 4,
        }

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        environment = {"PATH": os.environ.get("PATH", ""), "BERGAMOTPITCH_SETTINGS": path}
        log = open(os.path.join(self.fleet.folder, "%s-%d.log" % (self.name, self.starts)), "w")
        self.process = subprocess.Popen(self.fleet.command, cwd=ROOT, env=environment,
                                        stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.is_ready = False
        self.fleet.record.note("machine", self.name, "starts", self.process.pid)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.is_ready = False
        self.fleet.record.note("machine", self.name, "is killed")

    async def ask_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ports["ready"]), 0.5)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, Closed, asyncio.TimeoutError):
            return False


class Fleet:
    """All machines, and the balancer before them."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.holder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.holder.name
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        self.command = shlex.split(role["run"])
        self.machines = []
        zones = list(ZONES)
        for number in range(SITE["machines"]):
            self.machines.append(Machine(self, number, zones[number % len(zones)]))
        self.last = 0
        # Whatever ends this process ends the machines as well.
        atexit.register(self.kill)

    async def start(self):
        for machine in self.machines:
            machine.start()
        asyncio.create_task(self.look())
        await self.wait_ready()

    async def look(self):
        """The balancer's questions, once a second."""
        while True:
            for machine in self.machines:
                machine.is_ready = await machine.ask_ready()
            await asyncio.sleep(1.0)

    async def wait_ready(self, timeout_s=15):
        until = time.monotonic() + timeout_s
        while not all([await machine.ask_ready() for machine in self.machines]):
            if until < time.monotonic():
                raise RuntimeError("the fleet does not get ready")
            await asyncio.sleep(0.1)
        for machine in self.machines:
            machine.is_ready = True

    def pick(self):
        """The machine to which the balancer forwards a new connection."""
        ready = [machine for machine in self.machines if machine.is_ready] or self.machines
        self.last += 1
        return ready[self.last % len(ready)]

    def logs(self):
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name), errors="replace") as file:
                    yield from file

    def kill(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()

    def close(self):
        self.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            subprocess.run(["cp", "-r", self.folder + "/.", keep])
        self.holder.cleanup()


def configuration(version, routes, services, tenants=(("office", "key-office"),)):
    """What the operator writes to op/config."""
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tokens-per-s": 360000},
        "tenants": [{"name": name, "api-keys": [key], "priority": 1} for name, key in tenants],
    }).encode()


def route(name, service, resumable, attempts=2, timeout_ms=10000, target_ms=400):
    return {"name": "r-" + name, "host": HOST, "prefix": "/%s/" % name, "kind": "streaming",
            "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": 1,
            "service": service, "max-attempts": attempts, "public": False, "sticky": True,
            "resumable": resumable, "gap-aim-ms": 400}


def service(name, slots=64):
    return {"name": name, "health-path": "/health", "max-conns": SITE["connections"], "protocol": "h1",
            "tls": False, "engine": {"slots": slots, "kv-capacity-tokens": SITE["tokens"],
                                     "kv-token-bytes": 327680, "link-mbps": 550000.0,
                                     "models": [{"name": "m"}]}}


# --------------------------------------------------------------------------------------- clients

def fresh_id():
    return "%016x" % random.getrandbits(64)


class Outcome:
    """What one try brought: the status, whether the answer was complete, and its events."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.events = []
        self.is_complete = False
        self.error = None
        self.machine = None


async def ask(fleet, record, path, attempt, budget_s, headers=None, machine=None, key="key-office",
              on_open=None):
    """One try of a streaming request on a new connection."""
    outcome = Outcome()
    outcome.machine = machine = machine or fleet.pick()
    lines = {"Host": HOST, "Bergamotpitch-Attempt-Id": attempt, "Bergamotpitch-Model": "m",
             "Bergamotpitch-Time-Budget-Ms": int(budget_s * 1000),
             "Authorization": "Token " + key, "Content-Length": 4, **(headers or {})}
    record.note("client sends", attempt, path, "to", machine.name,
                " ".join("%s=%s" % pair for pair in (headers or {}).items()))
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(machine.ip, machine.ports["caller"]), 1.0)
        if on_open:
            on_open(writer)
        head = "POST %s HTTP/1.1\r\n" % path
        head += "".join("%s: %s\r\n" % pair for pair in lines.items())
        writer.write(head.encode() + b"\r\nbody")
        await asyncio.wait_for(take_answer(reader, outcome), budget_s)
    except asyncio.TimeoutError:
        outcome.error = "timeout"
    except (OSError, Closed) as error:
        outcome.error = str(error) or type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    last = outcome.events[-1][0] if outcome.events else "-"
    record.note("client gets", attempt, "status", outcome.status, "events", len(outcome.events),
                "last", last, "complete" if outcome.is_complete else "broken: %s" % outcome.error)
    return outcome


async def take_answer(reader, outcome):
    head = await read_head(reader)
    if head is None:
        raise Closed("no answer")
    outcome.status = int(head[0].split(" ")[1])
    outcome.headers = head[1]
    if "chunked" not in head[1].get("transfer-encoding", ""):
        await read_body(reader, head[1])
        outcome.is_complete = True
        return
    pending = b""
    while chunk := await read_chunk(reader):
        pending += chunk
        while b"\n\n" in pending:
            event, pending = pending.split(b"\n\n", 1)
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            outcome.events.append((int(fields["id"]), fields["data"]))
    outcome.is_complete = True


def run_case(folder, main):
    """Runs a case, which returns 1 if the rule was broken, 0 if it held, 2 if it could not run.

    A broken rule ends the process with BROKEN, which run.sh turns into 1: the interpreter itself ends
    with 1 where anything is wrong with the script.
    """
    record = Record(folder)
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(asyncio.wait_for(main(record), 110))
    except Exception as error:
        record.say("could not run:", type(error).__name__, error)
        if os.environ.get("DEBUG"):
            raise
    finally:
        record.close()
    sys.exit(BROKEN if code == 1 else code)
