#!/usr/bin/env python3
"""Plays callers, servers, links and a store around real gateway processes, injects faults, and reports every request
that ran although its caller was told that it did not (status 408, 421, 429 or 503).

    tests/soak/promises.py --seed 1 --seconds 60 [--program PATH] [--without KIND,...] [--only KIND,...]

--without takes kinds of faults and troubles of servers; --only takes kinds of faults.

Prints one JSON line. Exits with 1 if a promise was false or a request that may run once ran twice, with 2 if the run
could not be set up. With --folder, the gateways' logs and the record of all runs, answers and faults stay there.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "review"))
import standins as s  # noqa: E402

SERVICES = ("desk", "ledger")
SLOTS = 4
QUEUE = 3
WORK_S = 0.06
TIMEOUT_MS = 1200
DEADLINE_MS = 1500
MAX_PIPELINED = 4
DOWNLOAD_BYTES = (20_000, 1_600_000)
BODY_BYTES = (40, 300_000)
FAULT_GAP_S = (0.05, 0.5)
FAULT_S = (0.1, 2.5)
SETTLE_S = 3.0
NOT_RUN = ("X-Not-Executed", "1")


def now():
    return time.monotonic()


class Link:
    """Forwards connections to a server. `mode` is pass, delay, hold_to, hold_back, hold or refuse."""

    def __init__(self, rng, target):
        self.rng, self.target = rng, target
        self.mode, self.address, self.connections = "pass", "", []
        self.changed = asyncio.Event()

    async def start(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % listener.sockets[0].getsockname()[:2]

    def set_mode(self, mode):
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until_open(self, to_target):
        while self.mode not in ("pass", "delay", "hold_back" if to_target else "hold_to"):
            await self.changed.wait()

    async def pump(self, reader, writer, to_target, state):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.rng.uniform(0.01, 0.4))
                await self.wait_until_open(to_target)
                if not state["silent"]:
                    writer.write(data)
                    await writer.drain()
        await self.wait_until_open(to_target)  # the end of the connection is held up like its bytes
        if not state["silent"]:
            with contextlib.suppress(OSError):
                writer.close()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            onward = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        state = {"silent": False, "writers": (writer, onward[1])}
        self.connections.append(state)
        await asyncio.gather(self.pump(reader, onward[1], True, state), self.pump(onward[0], writer, False, state))
        self.connections.remove(state)


def reset(writer):
    """Closes a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Store(s.Store):
    """The store of the review's stand-ins, with outages."""

    trouble = None  # None, "refuses", "silent", "slow", "resets"

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await s.read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                body = await s.read_body(reader, head[1])
                if self.trouble == "resets":
                    reset(writer)
                    return
                while self.trouble == "silent":
                    await asyncio.sleep(0.05)
                await asyncio.sleep(2.0 if self.trouble == "slow" else self.reply_delay_s)
                if self.trouble == "refuses":
                    status, content = 503, {}
                else:
                    status, content = await self.answer(method, target, body)
                text = json.dumps(content).encode()
                writer.write(s.response(status, [("Content-Type", "application/json")], text))
                await writer.drain()
        writer.close()


class Server:
    """A server with a queue, which misbehaves as `trouble` says with probability `share`."""

    def __init__(self, play, service, zone):
        self.play, self.service, self.zone = play, service, zone
        self.trouble, self.share, self.stalled = None, 1.0, False
        self.running, self.waiting, self.connections, self.limit = 0, 0, 0, 10_000
        self.link, self.sequence = None, 0
        self.new_incarnation()

    def new_incarnation(self):
        self.id = f"i-{self.play.rng.getrandbits(32):08x}"
        self.born, self.leaving = int(time.time() * 1000), False

    async def start(self):
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "%s:%d" % listener.sockets[0].getsockname()[:2]
        self.link = Link(self.play.rng, self.address)
        await self.link.start()

    async def register(self, state="ready"):
        self.sequence += 1
        await self.play.store.put("servers", self.id, {
            "service": self.service, "address": self.link.address, "zone": self.zone, "version": "v1",
            "concurrency_limit": SLOTS, "state": state, "warmup_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born})

    def headers(self, request_id):
        found = [("X-Instance-Id", self.id),
                 ("X-Instance-Load", f"{self.running},{self.waiting},{SLOTS},100")]
        if request_id is not None:
            found.insert(0, ("X-Request-Id", request_id))
        if self.leaving:
            found.append(("Server-Leaving", "1"))
        return found

    async def serve(self, reader, writer):
        if self.connections >= self.limit:
            reset(writer)
            return
        self.connections += 1
        try:
            while True:
                while self.stalled:
                    await asyncio.sleep(0.01)
                head = await asyncio.wait_for(s.read_head(reader), 3.0)
                if head is None or not await self.take(head, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            self.connections -= 1
            with contextlib.suppress(OSError):
                writer.close()

    def misbehaves(self, kind):
        return self.trouble == kind and self.play.rng.random() < self.share

    async def take(self, head, reader, writer):
        """Handles one request. Returns False to close the connection."""
        method, target, _ = head[0].split(" ", 2)
        headers = head[1]
        request_id = headers.get("x-request-id")
        self.play.arrivals[request_id] += 1
        if target != "/health" and self.misbehaves("sheds_early"):
            writer.write(s.response(503, self.headers(request_id) + [NOT_RUN]))
            await writer.drain()
            if self.play.rng.random() < 0.5:
                return False
            await s.read_body(reader, headers)
            return True
        await s.read_body(reader, headers)
        if target == "/health":
            writer.write(s.response(503 if self.leaving else 200, self.headers(None)))
            return True
        if request_id is None:
            writer.write(s.response(400, self.headers(None) + [NOT_RUN]))
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(s.response(421, self.headers(request_id) + [NOT_RUN]))
            return True
        for kind, copies in (("sheds", 1), ("sheds_twice", 2)):
            if self.misbehaves(kind):
                writer.write(s.response(503, self.headers(request_id) + [NOT_RUN]) * copies)
                return True
        if self.misbehaves("pauses_callers"):
            writer.write(s.response(503, self.headers(request_id) + [NOT_RUN, ("Retry-After", "0.4")]))
            return True
        deadline = now() + int(headers.get("x-deadline-ms", "10000")) / 1000
        if not await self.wait_for_slot(deadline, reader):
            status = self.play.rng.choice((503, 429))
            writer.write(s.response(status, self.headers(request_id) + [NOT_RUN]))
            return True
        self.running += 1
        self.play.note_run(request_id, self, target)
        try:
            await asyncio.sleep(self.play.rng.uniform(0.3, 1.7) * WORK_S)
        finally:
            self.running -= 1
        return await self.answer(request_id, target, writer)

    async def wait_for_slot(self, deadline, reader):
        if self.running < SLOTS:
            return True
        if self.waiting >= QUEUE:
            return False
        self.waiting += 1
        try:
            while self.running >= SLOTS:
                if now() >= deadline or reader.at_eof():
                    return False
                await asyncio.sleep(0.005)
            return True
        finally:
            self.waiting -= 1

    async def answer(self, request_id, target, writer):
        size = self.play.rng.randint(*DOWNLOAD_BYTES) if target.startswith("/files/") else 6
        found = self.headers(request_id) + [("X-Response-Signature", f"sig-{request_id}")]
        whole = s.response(200, found, b"a" * size)
        kind = self.trouble if self.trouble and self.play.rng.random() < self.share else None
        if kind == "loses_answer":
            how = self.play.rng.choice(("close", "reset", "mute"))
            if how == "mute":
                await asyncio.sleep(5.0)
            elif how == "reset":
                reset(writer)
            return False
        if kind == "cuts_answer":
            writer.write(whole[: self.play.rng.randrange(len(whole))])
            await writer.drain()
            if self.play.rng.random() < 0.5:
                reset(writer)
            return False
        if kind == "fails":
            status = self.play.rng.choice((408, 429, 500, 503, 504))
            writer.write(s.response(status, found, b"b" * self.play.rng.choice((0, 10, 1 << 21))))
        elif kind == "fails_without_end":
            return await self.send_without_end(found, writer)
        elif kind == "answers_twice":
            writer.write(whole)
            await writer.drain()
            await asyncio.sleep(self.play.rng.choice((0, 0, 0.01, 0.05)))
            writer.write(s.response(503, self.headers(request_id) + [NOT_RUN]))
        elif kind == "unframed":
            lines = ["HTTP/1.1 200 OK"] + [f"{a}: {b}" for a, b in found]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + b"a" * size)
            await writer.drain()
            return False
        elif kind == "trickles":
            for at in range(0, len(whole), max(1, len(whole) // 60)):
                writer.write(whole[at : at + max(1, len(whole) // 60)])
                await writer.drain()
                await asyncio.sleep(0.01)
        elif kind == "closes_after":
            writer.write(whole)
            await writer.drain()
            return False
        else:
            writer.write(whole)
        return True

    async def send_without_end(self, found, writer):
        status = self.play.rng.choice((200, 503, 429))
        head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{a}: {b}\r\n" for a, b in found)
        in_head = self.play.rng.random() < 0.5
        writer.write(head.encode() + (b"" if in_head else b"\r\n"))
        piece = b"X-Filler: " + b"y" * 1000 + b"\r\n" if in_head else b"z" * 16384
        with contextlib.suppress(OSError):
            for _ in range(2000):
                writer.write(piece)
                await writer.drain()
        return False


SERVER_TROUBLES = ("sheds", "sheds_twice", "sheds_early", "pauses_callers", "loses_answer", "cuts_answer", "fails",
                   "fails_without_end", "answers_twice", "unframed", "trickles", "closes_after")


class Gateway(s.Gateway):
    """A gateway process of any program, with limits on its descriptors and memory."""

    def configure(self, program, zones, seeds):
        self.program, self.life, self.paused = program, 0, False
        self.descriptors, self.restart_at = 4100, 0.0
        self.settings["zones"] = {it: "kr-central" for it in zones}
        self.settings["seed_nodes"] = seeds
        self.settings["bounds"]["grace_period_s"] = 4
        self.write_settings()

    def start(self):
        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

        self.life += 1
        self.paused = False
        self.settings["bootstrap"] = self.life == 1
        self.write_settings()
        with open(self.log, "ab") as log:
            self.log_size = log.tell()
            self.process = subprocess.Popen([str(self.program), f"--settings={self.file}"], stdout=log, stderr=log,
                                            preexec_fn=limit)
        self.record.write(f"process  {self.name} started, life {self.life}")

    def ended_before_its_code(self):
        """True if a signal ended the process while it was loaded: it handles signals from its first statement on."""
        signals = (-signal.SIGTERM, -signal.SIGHUP)
        return self.process.returncode in signals and os.path.getsize(self.log) == self.log_size


@dataclasses.dataclass
class Sent:
    """One request of a caller."""

    id: str
    once: bool
    gateway: str
    at: float
    status: int = 0
    told_at: float = 0.0
    end: str = ""  # how its connection ended, if there was no answer


class Play:
    """One run."""

    def __init__(self, options, folder):
        self.options, self.folder = options, pathlib.Path(folder)
        self.rng = random.Random(options.seed)
        self.record = s.Record(self.folder / "record.txt")
        self.store = Store()
        self.servers, self.gateways = [], []
        self.sent, self.runs = {}, collections.defaultdict(list)
        self.arrivals = collections.Counter()
        self.counts = collections.Counter()
        self.wrong, self.version, self.ends_at = [], 0, 0.0
        self.types = {"/once/": "non_idempotent", "/again/": "idempotent", "/files/": "download"}
        self.services = {it: SERVICES[0] for it in self.types}
        self.tasks = set()

    def note_run(self, request_id, server, target):
        self.runs[request_id].append((now(), server.id, server.service))
        self.record.write(f"run      {request_id} at {server.id} {target}")

    async def put_config(self):
        self.version += self.rng.randint(1, 3)
        routes = [s.route(f"r-{path[1:-1]}", path, kind, self.services[path], TIMEOUT_MS, max_attempts=3)
                  for path, kind in self.types.items()]
        await self.store.put("config", "main", s.config(self.version, routes, SERVICES))
        self.record.write(f"config   {self.version} {self.services}")

    async def set_up(self):
        await self.store.start()
        zones = [f"zone-{it}" for it in range(self.options.zones)]
        for i in range(self.options.servers):
            it = Server(self, SERVICES[i % len(SERVICES)], zones[i % len(zones)])
            await it.start()
            await it.register()
            self.servers.append(it)
        await self.put_config()
        for i in range(self.options.gateways):
            it = Gateway(self.record, self.folder, f"vm-{i}", zones[i % len(zones)], self.store.address, i + 1)
            self.gateways.append(it)
        seeds = [it.control for it in self.gateways[:3]]
        for it in self.gateways:
            it.configure(self.options.program, zones, seeds)
            it.start()
        for it in self.gateways:
            await it.wait_ready()

    # callers

    async def run_caller(self):
        while now() < self.ends_at:
            gateway = self.rng.choice(self.gateways)
            try:
                connection = await s.Connection.to(gateway.frontend)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            await self.use(connection, gateway)

    async def use(self, connection, gateway):
        """Sends bursts on one connection until it ends."""
        while now() < self.ends_at and connection.is_usable():
            burst = [self.new_request(gateway) for _ in range(self.rng.randint(1, MAX_PIPELINED))]
            leaves = self.rng.random() < 0.02
            try:
                for request, parts in burst:
                    for part in parts:
                        connection.writer.write(part)
                        await asyncio.wait_for(connection.writer.drain(), 3.0)
                        if len(parts) > 1:
                            await asyncio.sleep(self.rng.uniform(0, 0.01))
                if leaves:
                    await asyncio.sleep(self.rng.uniform(0, 0.1))
                    connection.close()
                    return
                for request, _ in burst:
                    if not await asyncio.wait_for(self.receive(connection, request), 4.0):
                        return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                connection.close()
                return
            await asyncio.sleep(self.rng.uniform(0, 0.2))

    def new_request(self, gateway):
        path = self.rng.choices(("/once/", "/again/", "/files/"), (8, 2, 1))[0]
        request = Sent(f"{self.rng.getrandbits(64):016x}", self.types[path] == "non_idempotent", gateway.name, now())
        self.sent[request.id] = request
        lines = [f"{'POST' if path == '/once/' else 'GET'} {path}4711 HTTP/1.1", "Host: desk.example",
                 f"X-Request-Id: {request.id}", f"X-Deadline-Ms: {DEADLINE_MS}"]
        if path != "/once/":
            return request, ["\r\n".join(lines).encode() + b"\r\n\r\n"]
        small, large = BODY_BYTES
        size = large if self.rng.random() < 0.05 else self.rng.randint(small, 2000)
        if self.rng.random() < 0.2:
            chunk = size // 4 + 1
            head = "\r\n".join(lines + ["Transfer-Encoding: chunked"]).encode() + b"\r\n\r\n"
            pieces = [b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)] * 4
            return request, [head, *pieces, b"0\r\n\r\n"]
        head = "\r\n".join(lines + [f"Content-Length: {size}"]).encode() + b"\r\n\r\n"
        return request, [head + b"x" * size]

    async def receive(self, connection, request):
        """Returns True if the connection may be used further."""
        answer = await connection.receive()
        request.told_at = now()
        if not answer["complete"]:
            request.end = "cut"
            self.counts["without answer"] += 1
            return False
        request.status = answer["status"]
        self.counts[answer["status"]] += 1
        signature = answer["headers"].get("x-response-signature")
        if request.status == 200 and signature != f"sig-{request.id}":
            self.wrong.append(f"MIXED {request.id}: {signature}")
        if answer["headers"].get("x-request-id", request.id) != request.id:
            self.wrong.append(f"MIXED {request.id}: answer of another request")
        return connection.open

    # faults

    def later(self, after, action):
        async def wait():
            await asyncio.sleep(after)
            outcome = action()
            if asyncio.iscoroutine(outcome):
                await outcome

        task = asyncio.ensure_future(wait())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def fault_s(self):
        return self.rng.uniform(*FAULT_S)

    def some_servers(self):
        count = self.rng.choice((1, 1, 3, len(self.servers)))
        return self.rng.sample(self.servers, count)

    async def server_trouble(self):
        allowed = [it for it in SERVER_TROUBLES if it not in self.options.without]
        servers, kind = self.some_servers(), self.rng.choice(allowed)
        for it in servers:
            it.trouble, it.share = kind, self.rng.choice((0.1, 0.4, 1.0))
            self.later(self.fault_s(), lambda it=it: setattr(it, "trouble", None))
        return f"{kind} at {len(servers)}"

    async def server_stalls(self):
        servers = self.some_servers()
        for it in servers:
            it.stalled = True
            self.later(self.fault_s(), lambda it=it: setattr(it, "stalled", False))
        return str(len(servers))

    async def server_limits(self):
        for it in self.some_servers():
            it.limit = self.rng.randint(1, 12)
            self.later(self.fault_s(), lambda it=it: setattr(it, "limit", 10_000))

    async def link(self):
        mode = self.rng.choice(("delay", "hold_to", "hold_back", "hold", "refuse"))
        for it in self.some_servers():
            it.link.set_mode(mode)
            self.later(self.fault_s(), lambda it=it: it.link.set_mode("pass"))
        return mode

    async def zone_link(self):
        zone, mode = self.rng.choice(self.servers).zone, self.rng.choice(("hold_to", "hold_back", "hold", "refuse"))
        for it in self.servers:
            if it.zone == zone:
                it.link.set_mode(mode)
                self.later(self.fault_s(), lambda it=it: it.link.set_mode("pass"))
        return f"{zone} {mode}"

    async def link_breaks(self):
        silent = self.rng.random() < 0.5
        for it in self.some_servers():
            for state in list(it.link.connections):
                if self.rng.random() < 0.7:
                    state["silent"] = state["silent"] or silent
                    if not silent:
                        for writer in state["writers"]:
                            reset(writer)
        return "silent" if silent else "reset"

    async def new_id(self):
        """Servers come back under another id at their address; some forget their connections."""
        for it in self.some_servers()[:3]:
            await self.store.remove("servers", it.id)
            it.new_incarnation()
            if self.rng.random() < 0.5:
                for state in list(it.link.connections):
                    for writer in state["writers"]:
                        reset(writer)
            self.later(self.rng.uniform(0, 0.3), it.register)

    async def other_service(self):
        it = self.rng.choice(self.servers)
        if sum(1 for other in self.servers if other.service == it.service) > 2:
            await self.store.remove("servers", it.id)
            it.new_incarnation()
            it.service = SERVICES[1 - SERVICES.index(it.service)]
            self.later(self.rng.uniform(0, 0.3), it.register)

    async def leaving(self):
        it = self.rng.choice(self.servers)
        it.leaving = True
        await it.register("draining")

        async def come_back():
            await self.store.remove("servers", it.id)
            it.new_incarnation()
            await it.register()

        self.later(2.0 + self.fault_s(), come_back)

    async def configuration(self):
        path = self.rng.choice(list(self.services))
        self.services[path] = self.rng.choice(SERVICES)
        await self.put_config()

    async def store_outage(self):
        self.store.trouble = self.rng.choice(("refuses", "silent", "slow", "resets"))
        self.later(self.fault_s(), lambda: setattr(self.store, "trouble", None))
        return self.store.trouble

    def running_gateways(self):
        return [it for it in self.gateways if it.running()]

    def signal_one(self, number):
        found = self.running_gateways()
        if found:
            it = self.rng.choice(found)
            it.send_signal(number)
            return it
        return None

    async def gateway_term(self):
        it = self.signal_one(signal.SIGTERM)
        if it is not None and self.rng.random() < 0.3:
            self.later(self.rng.uniform(0, 2), lambda: it.running() and it.send_signal(signal.SIGTERM))

    async def gateway_roll(self):
        for i, it in enumerate(self.gateways):
            self.later(i * self.rng.uniform(0.3, 1.5), lambda it=it: it.running() and it.send_signal(signal.SIGTERM))

    async def gateway_kill(self):
        self.signal_one(signal.SIGKILL)

    async def fleet_kill(self):
        for it in self.running_gateways():
            it.send_signal(signal.SIGKILL)

    async def gateway_hup(self):
        self.signal_one(signal.SIGHUP)

    async def gateway_pause(self):
        it = self.signal_one(signal.SIGSTOP)
        if it is not None:
            self.later(self.fault_s(), lambda: it.running() and it.send_signal(signal.SIGCONT))

    async def gateway_starved(self):
        """A process that gets one millisecond in ten."""
        found = self.running_gateways()
        if not found:
            return
        it, ends = self.rng.choice(found), now() + self.fault_s()

        async def starve():
            while now() < ends and it.running():
                it.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.009)
                it.process.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.001)

        self.later(0, starve)

    async def keep_running(self):
        """Restarts gateways that have ended."""
        while True:
            for it in self.gateways:
                if it.running():
                    it.restart_at = 0.0
                elif it.restart_at == 0.0:
                    it.restart_at = now() + self.rng.uniform(0.05, 0.5)
                    if it.process.returncode not in (0, -signal.SIGKILL) and not it.ended_before_its_code():
                        self.wrong.append(f"ENDED {it.name}: {it.process.returncode}")
                elif now() >= it.restart_at:
                    it.descriptors = self.rng.choice((4100, 4100, 90)) if "descriptors" in self.kinds else 4100
                    it.start()
            await asyncio.sleep(0.02)

    async def inject(self):
        while now() < self.ends_at:
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S) * self.options.gap)
            kind = self.rng.choice([it for it in self.kinds if it != "descriptors"])
            detail = await getattr(self, kind)()
            self.counts[kind] += 1
            self.record.write(f"fault    {kind} {detail or ''}")

    async def main(self):
        self.kinds = [it for it in FAULTS if it not in self.options.without]
        if self.options.only:
            self.kinds = [it for it in self.kinds if it in self.options.only]
        await self.set_up()
        self.ends_at = now() + self.options.seconds
        keeper = asyncio.ensure_future(self.keep_running())
        work = [self.run_caller() for _ in range(self.options.callers)]
        await asyncio.gather(self.inject(), *work)
        await asyncio.sleep(SETTLE_S)
        keeper.cancel()

    def judge(self):
        promised = 0
        for it in self.sent.values():
            runs = self.runs.get(it.id, [])
            if it.status in s.PROMISES:
                promised += 1
                if runs and it.once:
                    self.wrong.append(f"REFUSED {it.id} by {it.gateway} with {it.status}, ran {len(runs)} time(s)")
            if it.once and len(runs) > 1:
                self.wrong.append(f"TWICE {it.id}: {runs}")
        for request_id in self.runs:
            if request_id not in self.sent:
                self.wrong.append(f"UNASKED {request_id}")
        for it in self.wrong:
            self.record.write(f"result   {it}")
        return {"seed": self.options.seed, "seconds": self.options.seconds, "requests": len(self.sent),
                "promised": promised, "wrong": self.wrong[:20], "wrong_total": len(self.wrong),
                "counts": {str(key): n for key, n in self.counts.items()}}


FAULTS = ("server_trouble", "server_trouble", "server_trouble", "server_stalls", "server_limits", "link", "zone_link",
          "link_breaks", "new_id", "other_service", "leaving", "configuration", "store_outage", "gateway_term", "gateway_roll",
          "gateway_kill", "fleet_kill", "gateway_hup", "gateway_pause", "gateway_starved", "descriptors")


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--program", default=str(REPOSITORY / "build/release/bin/endivelever-gateway"))
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--callers", type=int, default=48)
    parser.add_argument("--gap", type=float, default=1.0, help="factor on the time between faults")
    parser.add_argument("--without", type=lambda it: it.split(","), default=[])
    parser.add_argument("--only", type=lambda it: it.split(","), default=[])
    parser.add_argument("--folder", help="keeps the record and the logs here")
    return parser.parse_args()


def main():
    options = parse_options()
    if not pathlib.Path(options.program).is_file():
        print(f"{options.program} is missing", file=sys.stderr)
        return 2
    folder = options.folder or tempfile.mkdtemp()
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    play = Play(options, folder)
    try:
        asyncio.run(asyncio.wait_for(play.main(), options.seconds + 60))
    except (s.CannotRun, asyncio.TimeoutError) as it:
        print(json.dumps({"seed": options.seed, "failed": repr(it)}))
        return 2
    finally:
        for it in play.gateways:
            it.end()
    report = play.judge()
    print(json.dumps(report), flush=True)
    if options.folder is None:
        shutil.rmtree(folder)
    os._exit(1 if play.wrong else 0)  # without the clean-up of connections whose event loop has ended


if __name__ == "__main__":
    sys.exit(main())
