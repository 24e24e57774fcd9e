"""Stand-ins for the platform's store, servers and clients, and a starter of gateway processes.

Everything listens on loopback addresses and on ports that the kernel picks. One event loop runs all stand-ins;
the gateways are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
DEPLOY_FILE = REPOSITORY / "deploy" / "system.toml"
HEAD_LIMIT = 1 << 20
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
PROMISES = (408, 421, 429, 503)  # "not run, and never will be"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of record.txt, with the time since the start of the run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns (first line, headers with lower-case names), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers=(), body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's object store: lists, watches, writes with revisions. `reply_delay_s` is its usual time."""

    def __init__(self, reply_delay_s=0.004):
        self.reply_delay_s = reply_delay_s
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.address = ""

    async def start(self, host="127.0.0.1"):
        server = await asyncio.start_server(self.serve, host, 0, limit=HEAD_LIMIT)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        self.revision += 1
        known = self.objects.get((kind, name))
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": known["metadata"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored
        await self.announce(kind, stored, False)
        return stored

    async def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            gone = json.loads(json.dumps(stored))
            gone["metadata"]["revision"] = self.revision
            await self.announce(kind, gone, True)

    async def announce(self, kind, stored, deleted):
        async with self.changed:
            self.events.append((self.revision, kind, {"object": stored, "deleted": deleted}))
            self.changed.notify_all()

    def list(self, kind, after):
        names = sorted(name for known, name in self.objects if known == kind and name > after)
        items = [self.objects[(kind, name)] for name in names]
        return {"items": items, "truncated": False, "store_revision": self.revision}

    async def watch(self, kind, since, wait_s):
        def found():
            return [event for at, known, event in self.events if at > since and known == kind]

        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(found), wait_s)
            return {"events": found(), "store_revision": self.revision}

    async def answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(it) for it in parts.path.split("/")[3:]]
        kind = path[0] if path else ""
        name = path[1] if len(path) > 1 else ""
        if method == "GET" and "watch" in query:
            wait_s = int(query.get("wait_ms", "0")) / 1000
            return 200, await self.watch(kind, int(query["watch"]), wait_s)
        if method == "GET" and name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if method == "GET":
            return 200, self.list(kind, query.get("after", ""))
        content = json.loads(body or b"{}")
        if method == "POST":
            name = content["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, await self.put(kind, name, content.get("spec"))
        if method == "PUT":
            if (kind, name) not in self.objects:
                return 404, {}
            return 200, await self.put(kind, name, content.get("spec"))
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 400, {}

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await asyncio.sleep(self.reply_delay_s)
                status, content = await self.answer(method, target, body)
                text = json.dumps(content).encode()
                writer.write(response(status, [("Content-Type", "application/json")], text))
                await writer.drain()
        writer.close()


class Server:
    """A server of a service. `behave(server, request, writer)` may answer in its own way; it returns True if
    it did. Otherwise a request runs for `work_s` and is answered with 200."""

    def __init__(self, record, store, server_id, service, zone, work_s, slots=4, behave=None):
        self.record = record
        self.store = store
        self.id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.behave = behave
        self.running = 0
        self.ran = {}  # request id -> list of (start, end or None)
        self.sequence = 0
        self.address = ""
        self.born = int(time.time() * 1000)
        self.extra_headers = []

    async def start(self, host="127.0.0.1"):
        server = await asyncio.start_server(self.serve, host, 0, limit=HEAD_LIMIT)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency_limit": self.slots,
            "state": state,
            "warmup_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def register(self, state="ready"):
        await self.store.put("servers", self.id, self.entry(state))

    def headers(self, request_id=None):
        found = [("X-Instance-Id", self.id), ("X-Instance-Load", f"{self.running},0,{self.slots},100")]
        if request_id is not None:
            found.insert(0, ("X-Request-Id", request_id))
        return found + list(self.extra_headers)

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = {"method": method, "target": target, "headers": head[1], "body": body}
                request["id"] = head[1].get("x-request-id")
                await self.reply(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        writer.close()

    async def reply(self, request, writer):
        if request["target"] == "/health":
            writer.write(response(200, self.headers()))
            return
        if request["headers"].get("x-expect-instance", self.id) != self.id:
            writer.write(response(421, self.headers(request["id"])))
            return
        if self.running >= self.slots:
            writer.write(response(503, self.headers(request["id"]) + [("X-Not-Executed", "1")]))
            return
        run = self.begin_run(request)
        try:
            if self.behave is not None and await self.behave(self, request, writer):
                return
            await asyncio.sleep(self.work_s)
        finally:
            self.end_run(request, run)
        signature = ("X-Response-Signature", f"sig-{request['id']}")
        writer.write(response(200, self.headers(request["id"]) + [signature], b"answer"))

    def begin_run(self, request):
        self.running += 1
        run = [self.record.now(), None]
        self.ran.setdefault(request["id"], []).append(run)
        self.record.write(f"run      {request['id']} begins at {self.id}: {request['method']} {request['target']}")
        return run

    def end_run(self, request, run):
        self.running -= 1
        run[1] = self.record.now()
        self.record.write(f"run      {request['id']} ends at {self.id}")


def route(name, path, kind, service, timeout_ms, aim_ms=500, max_attempts=2):
    spec = {
        "host": "desk.example",
        "path_prefix": path,
        "type": kind,
        "timeout_ms": timeout_ms,
        "aim_ms": aim_ms,
        "priority": 0,
        "service": service,
        "max_attempts": max_attempts,
    }
    return {"resource_kind": "routes", "metadata": {"name": name}, "spec": spec}


def service_entry(name, max_connections=240):
    spec = {"health_check_path": "/health", "max_connections": max_connections}
    return {"resource_kind": "services", "metadata": {"name": name}, "spec": spec}


def limits_entry():
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    }
    return {"resource_kind": "limits", "metadata": {"name": "limits"}, "spec": spec}


def config(version, routes, services):
    resources = list(routes) + [service_entry(it) for it in services] + [limits_entry()]
    return {"version": f"{version:08x}", "resources": resources}


def free_ports(host, count):
    found = [socket.socket() for _ in range(count)]
    for it in found:
        it.bind((host, 0))
    ports = [it.getsockname()[1] for it in found]
    for it in found:
        it.close()
    return ports


class Gateway:
    """A gateway process with the settings of one VM, on a loopback address of its own."""

    def __init__(self, record, folder, name, zone, store_address, host_number, bootstrap=True):
        self.record = record
        self.name = name
        self.zone = zone
        self.process = None
        pid = os.getpid()
        self.host = f"127.{20 + pid % 200}.{pid // 200 % 250}.{host_number}"
        ports = free_ports(self.host, 5)
        self.frontend, self.ready, self.control, self.registry = (f"{self.host}:{it}" for it in ports[:4])
        self.settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge", "control", "directory"],
            "ip_address": self.host,
            "zone": zone,
            "region": "kr-central",
            "zones": {zone: "kr-central"},
            "listen_addrs": {
                "frontend": self.frontend,
                "ready": self.ready,
                "control_plane": self.control,
                "registry": self.registry,
            },
            "internal_port_range": [ports[4], ports[4]],
            "seed_nodes": [self.control],
            "bootstrap": bootstrap,
            "loss_counts": False,
            "limits": {
                "cpu_quota": 0.2,
                "cpu_cores": 1,
                "memory_mb": 260,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_path": None,
            "discovery": "platform",
            "entrypoint": "directory",
            "heartbeat_interval_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "stability_window_ms": 3000,
                "ack_ms": 4000,
                "catch_up_s": 4,
                "drain_ms": 2000,
                "grace_period_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "downgrade_slack_ms": 250,
                "max_skew_ms": 5000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_allowance": 60,
                "recovery_s": 15,
                "ttl_max_s": 5,
                "probes_per_s": 60,
            },
            "platform": {
                "address": store_address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.file = pathlib.Path(folder) / f"{name}.json"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.write_settings()

    def write_settings(self):
        self.file.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self):
        with open(DEPLOY_FILE, "rb") as it:
            command = tomllib.load(it)["roles"]["gateway"]["run"].split(" ")
        program = REPOSITORY / command[0]
        if not program.is_file():
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file first")
        environment = {"PATH": os.environ.get("PATH", ""), "ENDIVELEVER_BOOT": str(self.file)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [str(program), *command[1:]], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"process  {self.name} started, callers' address {self.frontend}")

    def send_signal(self, number):
        self.record.write(f"signal   {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            return (await call(self.ready, "GET", "/api/ready", {}, timeout_s=1))["status"] == 200
        return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if not self.running():
                raise CannotRun(f"{self.name} ended at its start")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {limit_s} s")


class Connection:
    """A client's kept connection to one address."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.open = True

    @staticmethod
    async def to(address, timeout_s=1):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=HEAD_LIMIT), timeout_s
        )
        return Connection(reader, writer)

    def is_usable(self):
        return self.open and not self.reader.at_eof() and not self.writer.is_closing()

    def send(self, method, target, headers, body=b""):
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def receive(self):
        """Returns the answer; `complete` is False if the connection ended before its end."""
        answer = {"status": 0, "headers": {}, "body": b"", "complete": False}
        try:
            head = await read_head(self.reader)
            if head is not None:
                answer["status"] = int(head[0].split(" ")[1])
                answer["headers"] = head[1]
                answer["body"] = await read_body(self.reader, head[1])
                answer["complete"] = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if not answer["complete"] or answer["headers"].get("connection") == "close":
            self.close()
        return answer

    def close(self):
        self.open = False
        self.writer.close()


async def call(address, method, target, headers, body=b"", timeout_s=5):
    connection = await Connection.to(address)
    try:
        connection.send(method, target, {"Host": "desk.example", **headers}, body)
        return await asyncio.wait_for(connection.receive(), timeout_s)
    finally:
        connection.close()


def run_case(main, folder, limit_s=110):
    """Runs `main(record, temporary folder, trouble)` and exits with the result of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    gateways = []

    async def bounded(temporary):
        return await asyncio.wait_for(main(record, temporary, trouble, gateways), limit_s)

    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(bounded(temporary))
        except Exception as it:  # any error of the case itself must not look like a broken rule
            record.write(f"result   could not run: {it!r}")
        finally:
            for it in gateways:
                it.end()
    record.write(f"result   exit {code}, {'with' if trouble else 'without'} the disruption")
    print(f"exit {code}; see record.txt", flush=True)
    os._exit(code)  # without the clean-up of connections whose event loop has ended


def new_id():
    return f"{random.getrandbits(64):016x}"
