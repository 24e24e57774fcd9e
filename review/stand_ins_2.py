"""Stand-ins for the platform's store, targets and clients, and gateway processes on loopback addresses.

Used by the scripts of review/6 to review/10. Needs Python 3.11 and nothing else.
"""

import asyncio
import contextlib
import copy
import json
import logging
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
import urllib.parse
import warnings

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
# The start command of deploy/system.toml.
PROGRAM = "target/bin/endivelever-gateway"
METRICS_PORT = 9464
# For both ends of some 4,000 connections.
DESCRIPTORS = 8192
# A script ends well before the 120 seconds that it may take.
LIMIT_S = 110
HOST = "desk.example"
TOKEN = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class BadRequest(Exception):
    """A request that HTTP/1.1 does not allow."""


def now():
    return time.monotonic()


class Record:
    """Lines of record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def write(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def reset(writer):
    """Closes a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def read_head(reader):
    """Reads a request or response head. Returns its first line and its fields, or None at the end of the stream."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as failure:
        if failure.partial:
            raise
        return None
    lines = text[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or not TOKEN.issuperset(name):
            raise BadRequest(f"field {line!r}")
        fields.append((name, value.strip()))
    return lines[0], fields


def field(fields, name):
    """The value of the first field of this name, or None."""
    return next((value for it, value in fields if it.lower() == name.lower()), None)


async def read_body(reader, fields):
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(field(fields, "Content-Length") or 0))


def message(status, fields, body=b""):
    """A response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditional writes, the restore of a drill."""

    PAGE = 500

    def __init__(self, record, answer_s=0.004):
        self.record, self.answer_s = record, answer_s
        self.revision, self.era = 100, 1
        self.objects, self.history, self.history_begin = {}, [], 100
        self.changed = asyncio.Event()
        self.away = False
        self.writers = set()
        self.calls = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def note(self, kind, obj, deleted):
        self.history.append((self.revision, kind, {"object": copy.deepcopy(obj), "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object and returns the revision. A write that changes nothing raises no revision."""
        kept = self.objects.setdefault(kind, {})
        known = kept.get(name)
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        kept[name] = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                                   "deleting": False}, "spec": copy.deepcopy(spec), "status": None}
        self.note(kind, kept[name], False)
        return self.revision

    def remove(self, kind, name):
        obj = self.objects.get(kind, {}).pop(name, None)
        if obj is None:
            return False
        self.revision += 1
        obj["metadata"]["revision"] = self.revision
        self.note(kind, obj, True)
        return True

    def copy(self):
        """The copy from which restore() takes the store."""
        return copy.deepcopy((self.revision, self.objects, self.history, self.history_begin))

    def leave(self):
        """Resets all connections and accepts none until restore()."""
        self.away = True
        for it in list(self.writers):
            reset(it)

    def restore(self, saved):
        self.revision, self.objects, self.history, self.history_begin = copy.deepcopy(saved)
        self.era += 1
        self.away = False

    async def serve(self, reader, writer):
        if self.away:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                await asyncio.sleep(self.answer_s)
                status, content = await self.answer(method, target, body)
                if self.away:
                    reset(writer)
                    return
                writer.write(message(status, [("Content-Type", "application/json"), ("Store-Era", str(self.era))],
                                     json.dumps(content).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, BadRequest):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def answer(self, method, target, body):
        self.calls += 1
        path, _, query = target.partition("?")
        parts = [urllib.parse.unquote(it) for it in path.split("/")[3:]]
        query = dict(urllib.parse.parse_qsl(query))
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        kept = self.objects.setdefault(kind, {})
        if method == "GET":
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
            if name is not None:
                return (200, kept[name]) if name in kept else (404, {})
            names = sorted(it for it in kept if it > query.get("after", ""))
            return 200, {"items": [kept[it] for it in names[:self.PAGE]], "truncated": len(names) > self.PAGE,
                         "store_revision": self.revision}
        given = json.loads(body) if body else {}
        name = name or given["metadata"]["name"]
        expected = given.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST":
            if name in kept:
                return 409, kept[name]
        elif name not in kept:
            return 404, {}
        elif expected is not None and int(expected) != kept[name]["metadata"]["revision"]:
            return 409, kept[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.put(kind, name, given.get("spec"))
        return 200, kept[name]

    async def watch(self, kind, since, wait_s):
        era, until = self.era, now() + wait_s
        while True:
            if since < self.history_begin or since > self.revision or era != self.era:
                return 410, {}
            events = [event for at, it, event in self.history if it == kind and at > since]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Target:
    """A sound target. `behave` may answer a request in another way; see Target.take."""

    def __init__(self, record, service, zone="zone-a", name=None, slots=8, work_s=0.02, behave=None):
        self.record, self.service, self.zone, self.slots = record, service, zone, slots
        self.work_s, self.behave = work_s, behave
        self.id = name or f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.leaving, self.tells_load = False, True
        self.running, self.sequence = 0, 0
        self.runs, self.arrivals, self.probes, self.writers = [], [], 0, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def end(self):
        """The process ends: no connection is accepted, and open ones are reset."""
        self.server.close()
        for it in list(self.writers):
            reset(it)

    def entry(self, state="ready", warmup_ms=0):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "concurrency_limit": self.slots, "state": state, "warmup_remaining_ms": warmup_ms,
                "sequence": self.sequence, "born": self.born}

    def fields(self, request_id=None):
        found = [("X-Instance-Id", self.id)]
        if request_id is not None:
            found.append(("X-Request-Id", request_id))
        if self.tells_load:
            found.append(("X-Instance-Load", f"{self.running},0,{self.slots},100"))
        if self.leaving:
            found.append(("Server-Leaving", "1"))
        return found

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                if not await self.take(head, reader, writer):
                    break
                await writer.drain()
        except BadRequest as failure:
            self.record.write(f"{self.id} rejects a request: {failure}")
            with contextlib.suppress(OSError):
                writer.write(message(400, self.fields() + [("X-Not-Executed", "1"), ("Connection", "close")]))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def take(self, head, reader, writer):
        """Handles one request. Returns False to close the connection."""
        method, path, _ = head[0].split(" ")
        fields = head[1]
        body = await read_body(reader, fields)
        if path == "/health":
            self.probes += 1
            writer.write(message(503 if self.leaving else 200, self.fields()))
            return True
        request_id = field(fields, "X-Request-Id")
        self.arrivals.append((now(), request_id))
        refusal = [("X-Not-Executed", "1")]
        if request_id is None:
            writer.write(message(400, self.fields() + refusal))
            return True
        if field(fields, "X-Expect-Instance") not in (None, self.id):
            writer.write(message(421, self.fields(request_id) + refusal))
            return True
        if self.running >= self.slots:
            writer.write(message(503, self.fields(request_id) + refusal))
            return True
        self.running += 1
        self.runs.append((now(), request_id, method, path, fields, body))
        self.record.write(f"{self.id} runs {request_id} {method} {path}")
        try:
            if self.behave is not None:
                return await self.behave(self, request_id, reader, writer)
            await asyncio.sleep(self.work_s)
            signed = [*self.fields(request_id), ("X-Response-Signature", f"sig.{self.id}.{request_id}")]
            writer.write(message(200, signed, f"{self.id} {request_id}\n".encode()))
        finally:
            self.running -= 1
        return True


def memory_of(pid):
    """Resident memory of a process in bytes."""
    with contextlib.suppress(OSError), open(f"/proc/{pid}/statm", encoding="ascii") as it:
        return int(it.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return 0


def free_hosts(n):
    """Loopback addresses on which the ports of a gateway are free."""
    found = []
    while len(found) < n:
        host = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError):
            with socket.socket() as it:
                it.bind((host, METRICS_PORT))
            if host not in found:
                found.append(host)
    return found


def route(name, prefix, kind, service, **more):
    spec = {"host": HOST, "path_prefix": prefix, "type": kind, "timeout_ms": 2000, "aim_ms": 500, "priority": 0,
            "service": service, "max_attempts": 2}
    spec.update(more)
    return {"resource_kind": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, **more):
    spec = {"health_check_path": "/health", "max_connections": 100}
    spec.update(more)
    return {"resource_kind": "services", "metadata": {"name": name}, "spec": spec}


def limits():
    return {"resource_kind": "limits", "metadata": {"name": "limits"},
            "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 5000,
                     "idle_timeout_ms": 15000}}


def config(version, resources):
    return {"version": f"{version:08x}", "resources": resources}


class Gateway:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, folder, record, name, host, store, seeds, zone="zone-a", bounds=None, memory_mb=260):
        self.record, self.name, self.host, self.zone = record, name, host, zone
        self.frontend, self.ready_address, self.log = f"{host}:8548", f"{host}:8542", folder / f"{name}.log"
        self.settings_file = folder / f"{name}.json"
        self.process = None
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge", "serves": ["edge", "control", "directory"],
            "ip_address": host, "zone": zone, "region": "region", "zones": {zone: "region"},
            "listen_addrs": {"frontend": self.frontend, "ready": self.ready_address, "control_plane": f"{host}:8544",
                             "registry": f"{host}:8546"},
            "internal_port_range": [7540, 7555], "seed_nodes": [f"{it}:8544" for it in seeds[:3]],
            "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_quota": 0.2, "cpu_cores": 1, "memory_mb": memory_mb, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_path": None, "discovery": "platform", "entrypoint": "directory", "heartbeat_interval_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000,
                       "catch_up_s": 4, "drain_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200,
                       "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000,
                       "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_allowance": 60, "recovery_s": 15,
                       "ttl_max_s": 5, "probes_per_s": 60, **(bounds or {})},
            "platform": {"address": store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}

    def start(self, program=PROGRAM):
        self.settings_file.write_text(json.dumps(self.settings))
        self.settings["bootstrap"] = False
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([program], cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"],
                                                 "ENDIVELEVER_BOOT": str(self.settings_file)})
        self.record.write(f"{self.name} starts at {self.host}")

    def signal(self, number):
        self.record.write(f"{self.name} gets signal {number}")
        self.process.send_signal(number)

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return (await ask(self.ready_address, "GET", "/api/ready", timeout_s=1.0)).status == 200
        return False

    async def wait_until_ready(self, limit_s=20.0):
        until = now() + limit_s
        while now() < until and self.process.poll() is None:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def events(self, event):
        """Lines of its log."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                it = json.loads(line)
                if it.get("event") == event:
                    found.append(it)
        return found

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    def __init__(self, status, fields, body, line):
        self.status, self.fields, self.body, self.line = status, fields, body, line


async def read_answer(reader):
    """Reads one response with a length or in chunks."""
    head = await read_head(reader)
    if head is None:
        raise asyncio.IncompleteReadError(b"", None)
    line, fields = head
    return Answer(int(line.split(" ")[1]), fields, await read_body(reader, fields), line)


async def ask(address, method, path, fields=(), body=None, timeout_s=3.0):
    """Sends one request on a connection of its own. Raises OSError or IncompleteReadError without an answer."""
    host, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            writer.write(request_text(method, path, fields, body))
            return await read_answer(reader)
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


def request_text(method, path, fields=(), body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


_sent = 0


def new_id(prefix="q"):
    global _sent
    _sent += 1
    return f"{prefix}{_sent:06d}"


async def send(record, gateway, method, path, request_id, deadline_ms=1500, fields=(), body=None):
    """Sends a client's request to a gateway. Returns the answer, or None if the connection ended without one."""
    record.write(f"client sends {request_id} {method} {path} to {gateway.name}")
    given = [("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms)), *fields]
    try:
        answer = await ask(gateway.frontend, method, path, given, body, deadline_ms / 1000 + 1.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, BadRequest) as failure:
        record.write(f"client gets no answer to {request_id}: {type(failure).__name__} {failure}")
        return None
    record.write(f"client gets {answer.status} for {request_id}"
                 + ("" if answer.status < 300 else f" {answer.body[:200]!r}"))
    return answer


def run(folder, play):
    """Runs `play(record, scratch, trouble, started)` and returns its result: 1 if the rule was broken, 0 if it held,
    2 if the case could not run. All processes in `started` are ended."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    descriptors, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors < DESCRIPTORS <= most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, most))
    # Connections that are still open at the end are no finding.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    warnings.simplefilter("ignore", RuntimeWarning)
    record = Record(pathlib.Path(folder) / "record.txt")
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="gateway-case-"))
    started = []
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes in `started` are ended
    try:
        code = asyncio.run(asyncio.wait_for(play(record, scratch, trouble, started), LIMIT_S))
    except Exception as failure:  # noqa: BLE001 a case that cannot run must say so
        record.say(f"the case could not run: {type(failure).__name__} {failure}")
    finally:
        for it in started:
            it.end()
        if os.environ.get("KEEP_LOGS"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.say(("result: the rule held", "result: the rule was broken", "result: the case could not run")[code])
    return code
