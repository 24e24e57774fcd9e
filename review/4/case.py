"""A server leaves while the heads have lost the store, in a fleet whose earlier VMs were removed for good."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

VMS, CUT_VMS, VMS_IN_TOUCH = 10, 2, 3  # the other five are removed before
SERVERS = 3
WORK_S = 0.02
DEADLINE_MS = 1200
PAUSE_S = 0.01
CALLERS_PER_VM = 3
CUT_S = 5.5
CALM_S = 6.0  # twice stability_window_ms
ROUNDS = 4
GRACE_S = 6.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
MASK = (1 << 64) - 1


def hash_of(name):
    """XXH3 (64 bits) of 4 to 8 bytes, by which the gateways rank VMs of the same size."""
    data = name.encode()
    assert 4 <= len(data) <= 8  # other lengths are hashed in other ways
    first, last = (int.from_bytes(it, "little") for it in (data[:4], data[-4:]))
    secret = [bytes.fromhex("7c01812cf721ad1c"), bytes.fromhex("ded46de9839097db")]
    h = (last + (first << 32)) ^ int.from_bytes(secret[0], "little") ^ int.from_bytes(secret[1], "little")
    rotate = lambda value, n: ((value << n) | (value >> (64 - n))) & MASK  # noqa: E731
    h ^= rotate(h, 49) ^ rotate(h, 24)
    h = h * 0x9FB21C651E98DF25 & MASK
    h ^= (h >> 35) + len(data)
    h = h * 0x9FB21C651E98DF25 & MASK
    return h ^ (h >> 28)


class Link:
    """Connections from one VM to the store. While cut, nothing gets through in either direction."""

    def __init__(self, store_address):
        self.host, _, port = store_address.rpartition(":")
        self.port = int(port)
        self.whole = asyncio.Event()
        self.whole.set()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
            await self.whole.wait()
        writer.close()

    async def serve(self, reader, writer):
        await self.whole.wait()
        with contextlib.suppress(OSError):
            to_reader, to_writer = await asyncio.open_connection(self.host, self.port)
            await asyncio.gather(self.copy(reader, to_writer), self.copy(to_reader, writer))
        writer.close()


async def call_again_and_again(record, gateway, sent, end):
    connection = None
    while record.now() < end():
        await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))
        try:
            if connection is None or not connection.is_usable():
                connection = await s.Connection.to(gateway.frontend)
            request_id = s.new_id()
            headers = {"Host": "desk.example", "X-Request-Id": request_id, "X-Deadline-Ms": DEADLINE_MS}
            path = random.choice(["/status/4711", "/status-old/4711"])
            sent[request_id] = (record.now(), gateway.name, path)
            connection.send("GET", path, headers)
            answer = await asyncio.wait_for(connection.receive(), DEADLINE_MS / 1000)
            record.write(f"answered {request_id} {answer['status']}, sent to {gateway.name} with {path}")
        except (OSError, asyncio.TimeoutError):
            if connection is not None:
                connection.close()


def watch_events(gateway, since_unix):
    """Log lines of a gateway about its watch on the store."""
    lines = [s.json.loads(it) for it in gateway.log.read_text().splitlines() if it.startswith("{")]
    return [it for it in lines if it["t"] >= since_unix and it["event"] in ("watch_taken_over", "watch_handed_over")]


async def watches_store(gateway):
    text = (await s.call(gateway.control, "GET", "/metrics", {}))["body"].decode()
    return "gateway_watches_store 1" in text


async def main(record, folder, trouble, gateways):
    store = s.Store()
    await store.start()
    servers = []

    async def add_server():
        it = s.Server(record, store, f"i-{len(servers):08x}", "statusdesk", "kr-central-a", WORK_S, slots=12)
        await it.start()
        await it.register()
        servers.append(it)

    for _ in range(SERVERS):
        await add_server()
    status = s.route("r-status", "/status/", "idempotent", "statusdesk", DEADLINE_MS, aim_ms=200)
    old = s.route("r-status-old", "/status-old/", "idempotent", "statusdesk", DEADLINE_MS, aim_ms=200)
    await store.put("config", "main", s.config(7, [status, old], ["statusdesk"]))
    links = {}
    for i in range(VMS):
        link = Link(store.address)
        await link.start()
        gateway = s.Gateway(record, folder, f"edge-{i + 1:02d}", "kr-central-a", link.address, i + 1)
        links[gateway.name] = link
        gateways.append(gateway)
        gateway.start()
    for it in gateways:
        await it.wait_ready()
    await asyncio.sleep(4.0)
    ranked = sorted(gateways, key=lambda it: hash_of(it.name), reverse=True)
    cut, removed, in_touch = ranked[:CUT_VMS], ranked[CUT_VMS:-VMS_IN_TOUCH], ranked[-VMS_IN_TOUCH:]
    for it in removed:
        it.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
    await asyncio.sleep(GRACE_S + CALM_S)
    record.write(f"VMs by rank: {[it.name for it in ranked]}; left: {[it.name for it in ranked if it.running()]}")
    heads = [it.name for it in cut + in_touch if await watches_store(it)]
    record.write(f"watching the store: {heads}")
    if sorted(heads) != sorted(it.name for it in cut):
        raise s.CannotRun("the two VMs of the highest rank are not those that watch the store")
    running = True
    sent = {}

    def end():
        return record.now() + 1.0 if running else 0.0

    tasks = [
        asyncio.create_task(call_again_and_again(record, it, sent, end)) for it in in_touch for _ in range(CALLERS_PER_VM)
    ]
    await asyncio.sleep(2.0)
    late = []
    stale_count = 0
    for i in range(ROUNDS):
        leaving = servers[i]
        if trouble:
            record.write(f"cut      {[it.name for it in cut]} have no path to the store for {CUT_S} s")
            for it in cut:
                links[it.name].whole.clear()
        await store.remove("servers", leaving.id)
        await store.put("config", "main", s.config(8 + 2 * i, [status], ["statusdesk"]))
        gone = record.now()
        gone_unix = time.time()
        record.write(f"store    the entry of {leaving.id} is removed, it goes on serving; version {8 + 2 * i} drops "
                     "/status-old/")
        await asyncio.sleep(CUT_S)
        for it in cut:
            links[it.name].whole.set()
        late_here = [
            (name, spans[0][0]) for name, spans in leaving.ran.items()
            if name in sent and sent[name][0] > gone + DRAIN_S
        ]
        ran = {name: spans[0][0] for it in servers for name, spans in it.ran.items()}
        stale = [
            name for name, (at, _, path) in sent.items()
            if path.startswith("/status-old/") and at > gone + CONFIG_APPLY_S and name in ran
        ]
        for name in stale:
            record.write(f"CONFIG   {name}: sent {sent[name][0] - gone:.3f} s after the route was dropped, and run, "
                         f"from {sent[name][1]}")
        stale_count += len(stale)
        for name, at in late_here:
            record.write(f"DRAIN    {name}: sent {sent[name][0] - gone:.3f} s and at {leaving.id} {at - gone:.3f} s "
                         f"after the removal, from {sent[name][1]}")
        record.write(f"round    {i + 1}: last request at {leaving.id} "
                     f"{max(spans[0][0] for spans in leaving.ran.values()) - gone:.3f} s after the removal")
        for it in in_touch:
            for event in watch_events(it, gone_unix):
                record.write(f"log      {it.name}: {event['event']} ({event['reason']}) "
                             f"{event['t'] - gone_unix:.3f} s after the removal")
        late += late_here
        await store.put("config", "main", s.config(9 + 2 * i, [status, old], ["statusdesk"]))
        await add_server()
        await asyncio.sleep(CALM_S)
    running = False
    for it in tasks:
        it.cancel()
    record.write(f"result   {len(sent)} requests sent, {len(late)} reached a server over {DRAIN_S} s after it had left, "
                 f"{stale_count} ran on a route over {CONFIG_APPLY_S} s after it was dropped")
    return s.EXIT_BROKEN if late else s.EXIT_HELD


s.run_case(main, pathlib.Path(__file__).resolve().parent)
