"""A planned stop of a gateway whose callers keep their connections."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s  # noqa: E402

CALLERS = 240
WORK_S = 0.25  # run-confirm of hanbit-fold-grown
DEADLINE_MS = 6000
TIMEOUT_MS = 3000
SHORTEST_PAUSE_S, LONGEST_PAUSE_S = 1.0, 8.0  # below four fifths of idle_timeout_ms (12 s)
GRACE_S = 6.0
RUN_S = 9.0
LAST_COUNTED_S = GRACE_S + 1.0  # planned work lasts until 1 s after grace_period_s
EXCUSED_SEND_S = 3.0  # a request sent no later than this after the SIGTERM ...
EXCUSED_WORK_S = GRACE_S * 5 / 6  # ... and still at work then isn't counted


class Caller:
    """Asks for addresses when its last answer has expired; keeps the old one if it gets none."""

    def __init__(self, record, gateway, requests):
        self.record = record
        self.gateway = gateway
        self.requests = requests
        self.address = None
        self.expires = 0.0
        self.connection = None

    async def refresh_address(self):
        if self.address is not None and self.record.now() < self.expires:
            return
        target = "/api/resolve?name=desk.example&region=kr-central&zone=kr-central-a"
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            answer = await s.call(self.gateway.registry, "GET", target, {}, timeout_s=1)
            if answer["status"] != 200:
                self.record.write(f"lookup   status {answer['status']}: the caller keeps its address")
                return
            found = s.json.loads(answer["body"])
            if found["addresses"]:
                if self.address is not None and self.address not in found["addresses"]:
                    self.connection = None
                self.address = found["addresses"][0]
                self.expires = self.record.now() + found["ttl_s"]

    async def run(self, end):
        await asyncio.sleep(random.uniform(0.0, LONGEST_PAUSE_S / 2))
        while self.record.now() < end:
            await self.refresh_address()
            await self.send_one()
            await asyncio.sleep(random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))

    async def send_one(self):
        request = {"id": s.new_id(), "sent": None, "answer": None, "ended": None}
        try:
            if self.connection is None or not self.connection.is_usable():
                self.connection = await s.Connection.to(self.address)
        except (OSError, asyncio.TimeoutError):
            self.record.write(f"no connection for {request['id']}: it is not sent")
            return
        headers = {"Host": "desk.example", "X-Request-Id": request["id"], "X-Deadline-Ms": DEADLINE_MS}
        self.connection.send("POST", "/confirmations/4711", headers, b"x" * 400)
        request["sent"] = self.record.now()
        self.requests.append(request)
        self.record.write(f"sent     {request['id']} POST /confirmations/4711")
        try:
            request["answer"] = await asyncio.wait_for(self.connection.receive(), DEADLINE_MS / 1000)
        except asyncio.TimeoutError:
            self.connection.close()
            request["answer"] = {"status": 0, "complete": False, "deadline": True}
        request["ended"] = self.record.now()
        answer = request["answer"]
        what = f"status {answer['status']}" if answer["complete"] else "no complete answer, connection ended"
        self.record.write(f"answered {request['id']} {what}")


def is_lost(request, run, stopped):
    answer = request["answer"]
    if answer is None or answer["complete"] or "deadline" in answer or run is None:
        return False
    sent = request["sent"] - stopped
    excused = sent <= EXCUSED_SEND_S and (run[1] is None or run[1] - stopped >= EXCUSED_WORK_S)
    return sent <= LAST_COUNTED_S and not excused


async def main(record, folder, trouble, gateways):
    store = s.Store()
    await store.start()
    servers = []
    for i in range(9):
        it = s.Server(record, store, f"i-{i:08x}", "runledger", "kr-central-a", WORK_S, slots=4)
        await it.start()
        await it.register()
        servers.append(it)
    confirm = s.route("r-confirm", "/confirmations/", "non_idempotent", "runledger", TIMEOUT_MS, aim_ms=600)
    await store.put("config", "main", s.config(7, [confirm], ["runledger"]))
    gateway = s.Gateway(record, folder, "edge-a-1", "kr-central-a", store.address, 1)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    requests = []
    begin = record.now()
    stop_at = begin + 8.0
    callers = [Caller(record, gateway, requests) for _ in range(CALLERS)]
    tasks = [asyncio.create_task(it.run(stop_at + RUN_S)) for it in callers]
    await asyncio.sleep(stop_at - record.now())
    stopped = record.now()
    if trouble:
        gateway.send_signal(signal.SIGTERM)
    while gateway.running() and record.now() < stopped + RUN_S:
        await asyncio.sleep(0.02)
    if not gateway.running():
        record.write(f"process  edge-a-1 ended {record.now() - stopped:.2f} s after the SIGTERM, "
                     f"exit code {gateway.process.returncode}")
    await asyncio.sleep(1.0)
    for it in tasks:
        it.cancel()
    runs = {name: spans[0] for it in servers for name, spans in it.ran.items()}
    lost = [it for it in requests if is_lost(it, runs.get(it["id"]), stopped)]
    for it in lost:
        run = runs[it["id"]]
        record.write(f"LOST     {it['id']}: sent {it['sent'] - stopped:.2f} s after the SIGTERM, passed on "
                     f"{run[0] - stopped:.2f} s after it, connection ended {it['ended'] - stopped:.2f} s after it")
    record.write(f"result   {len(requests)} requests sent, {len(lost)} lost")
    if not requests:
        raise s.CannotRun("no request was sent")
    return s.EXIT_BROKEN if lost else s.EXIT_HELD


s.run_case(main, pathlib.Path(__file__).resolve().parent)
