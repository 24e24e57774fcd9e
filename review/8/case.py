"""Targets are drained after the platform's store came back from a copy that is some seconds old."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (Gateway, Store, Target, config, free_hosts, limits, new_id, now, route, run,  # noqa: E402
                         send, service)

STABILITY_S, DRAIN_S, AWAY_S = 3.0, 2.0, 1.0
HEARTBEAT_S = 1.5
# How long a target serves on after drain_ms.
SERVES_ON_S = 2.0
# Of the time of an arrival, which the stand-in notes after it has read the request.
MARGIN_S = 0.1


async def play(record, scratch, trouble, started):
    store = Store(record)
    await store.start()
    targets = [Target(record, "bookings", work_s=1.2) for _ in range(14)]
    joined = [Target(record, "bookings", work_s=1.2) for _ in range(4)]
    for it in targets + joined:
        it.tells_load = False
        await it.start()
    warm_ms = {}

    def write(target):
        state = "draining" if target.leaving else "ready"
        entry = store.objects.get("servers", {}).get(target.id)
        fresh = target.entry(state, warm_ms.get(target.id, 0))
        # An entry in which only the sequence differs counts as unchanged.
        if entry is None or {**entry["spec"], "sequence": 0} != {**fresh, "sequence": 0}:
            store.put("servers", target.id, fresh)

    async def heartbeats(target):
        while True:
            if not store.away:
                write(target)
            warm_ms[target.id] = max(0, warm_ms.get(target.id, 0) - int(HEARTBEAT_S * 1000))
            await asyncio.sleep(HEARTBEAT_S)

    beats = {it.id: asyncio.create_task(heartbeats(it)) for it in targets}
    store.put("config", "main",
              config(1, [route("book", "/book/", "non_idempotent", "bookings", timeout_ms=4000, aim_ms=2000),
                         service("bookings"), limits()]))
    hosts = free_hosts(8)
    gateways = [Gateway(scratch, record, f"gateway-{n}", host, store.address, hosts)
                for n, host in enumerate(hosts)]
    for it in gateways:
        started.append(it)
        it.start()
    for it in gateways:
        if not await it.wait_until_ready():
            record.say(f"{it.name} does not become ready")
            return 2

    answers = {}

    async def client(gateway):
        while True:
            await asyncio.sleep(random.uniform(0.2, 0.8))
            request = new_id()
            answer = await send(record, gateway, "POST", "/book/seat", request, 3500, body=b"seat 7")
            answers[request] = answer.status if answer else None

    clients = [asyncio.create_task(client(it)) for it in gateways for _ in range(3)]
    await asyncio.sleep(3)

    saved = store.copy()
    record.say(f"copy of the store at revision {store.revision}")
    # Four targets join; each writes how long it stays slow at each heartbeat.
    for it in joined:
        warm_ms[it.id] = 6000
        beats[it.id] = asyncio.create_task(heartbeats(it))
    await asyncio.sleep(4)
    if trouble:
        record.say(f"the store is away at revision {store.revision}")
        store.leave()
        await asyncio.sleep(AWAY_S)
        store.restore(saved)
        record.say(f"the store is back from the copy at revision {store.revision}, Store-Era {store.era}")
    # The targets write their entries again within a heartbeat; the operator has nothing to write again.
    await asyncio.sleep(2 * HEARTBEAT_S + STABILITY_S + 2)

    late, lost = [], []

    async def drain(target):
        target.leaving = True
        write(target)
        acknowledged = now()
        record.say(f"{target.id} is draining at revision {store.revision}")
        await asyncio.sleep(DRAIN_S + SERVES_ON_S)
        beats[target.id].cancel()
        store.remove("servers", target.id)
        target.end()
        record.say(f"{target.id} exits")
        await asyncio.sleep(2)
        for at, request in target.arrivals:
            if at > acknowledged + DRAIN_S + MARGIN_S:
                late.append((at - acknowledged, request))
                if answers.get(request) in (None, 502, 504):
                    lost.append(request)

    await asyncio.gather(*(drain(it) for it in targets[:7]))
    for it in [*clients, *beats.values()]:
        it.cancel()
    record.say(f"{len(answers)} requests, {sum(it == 200 for it in answers.values())} served")
    record.say(f"{len(late)} requests reached a target later than drain_ms after the acknowledgement: "
               + ", ".join(f"{request} after {after:.1f} s" for after, request in sorted(late)))
    record.say(f"{len(lost)} of them were lost: {lost}")
    return 1 if late else 0


sys.exit(run(FOLDER, play))
