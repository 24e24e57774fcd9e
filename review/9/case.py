"""A zone is evacuated after the platform's store came back from a copy that is some seconds old."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (Gateway, Store, Target, config, free_hosts, limits, new_id, now, route, run,  # noqa: E402
                         send, service)

# The bounds are those of hanbit-fold, with the one for evacuations from demands/liffeysplits-grown.
BOUNDS = {"evacuation_ms": 5000}
STABILITY_S, EVACUATION_S, AWAY_S = 3.0, 5.0, 1.0
HEARTBEAT_S = 1.5


async def play(record, scratch, trouble, started):
    store = Store(record)
    await store.start()
    targets = [Target(record, "bookings", f"zone-{zone}", work_s=0.25) for zone in "abab"]
    joined = [Target(record, "bookings", "zone-a", work_s=0.25) for _ in range(4)]
    for it in targets + joined:
        await it.start()
    warm_ms = {}

    async def heartbeats(target):
        while not target.stopped:
            if not store.away:
                entry = store.objects.get("servers", {}).get(target.id)
                fresh = target.entry(warmup_ms=warm_ms.get(target.id, 0))
                # An entry in which only the sequence differs counts as unchanged.
                if entry is None or {**entry["spec"], "sequence": 0} != {**fresh, "sequence": 0}:
                    store.put("servers", target.id, fresh)
            warm_ms[target.id] = max(0, warm_ms.get(target.id, 0) - int(HEARTBEAT_S * 1000))
            await asyncio.sleep(HEARTBEAT_S)

    for it in targets + joined:
        it.stopped = False
    store.put("config", "main",
              config(1, [route("book", "/book/", "non_idempotent", "bookings"), service("bookings"), limits()]))
    beats = [asyncio.create_task(heartbeats(it)) for it in targets]
    hosts = free_hosts(3)
    zones = {"zone-a": "region", "zone-b": "region"}
    gateways = [Gateway(scratch, record, f"gateway-{n}", host, store.address, hosts, zone, BOUNDS)
                for n, (host, zone) in enumerate(zip(hosts, ["zone-a", "zone-a", "zone-b"]))]
    for it in gateways:
        it.settings["zones"] = zones
        started.append(it)
        it.start()
    for it in gateways:
        if not await it.wait_until_ready():
            record.say(f"{it.name} does not become ready")
            return 2

    answers = []

    async def client(gateway):
        while True:
            sent, request = now(), new_id()
            answer = await send(record, gateway, "POST", "/book/seat", request, body=b"seat 7")
            answers.append((sent, request, answer.status if answer else None))
            await asyncio.sleep(random.uniform(0.05, 0.25))

    clients = [asyncio.create_task(client(it)) for it in gateways for _ in range(3)]
    await asyncio.sleep(3)

    saved = store.copy()
    record.say(f"copy of the store at revision {store.revision}")
    # Four targets join; each writes how long it stays cold at each heartbeat.
    for it in joined:
        warm_ms[it.id] = 4500
        beats.append(asyncio.create_task(heartbeats(it)))
    store.put("evacuations", "zone-b", {})
    record.say(f"the operator evacuates zone-b at revision {store.revision}")
    await asyncio.sleep(3)
    store.remove("evacuations", "zone-b")
    record.say(f"the operator takes zone-b back at revision {store.revision}")
    await asyncio.sleep(1)
    if trouble:
        record.say(f"the store is away at revision {store.revision}")
        store.leave()
        await asyncio.sleep(AWAY_S)
        store.restore(saved)
        record.say(f"the store is back from the copy at revision {store.revision}, Store-Era {store.era}")
    # The targets write their entries again within a heartbeat; the operator has nothing to write again.
    await asyncio.sleep(2 * HEARTBEAT_S + STABILITY_S + 2)
    store.put("evacuations", "zone-b", {})
    acknowledged = now()
    record.say(f"the operator evacuates zone-b at revision {store.revision}")
    await asyncio.sleep(EVACUATION_S + 4)
    away = [it for it in targets if it.zone == "zone-b"]
    for it in away:
        it.stopped = True
        it.end()
    ended = now()
    record.say("zone-b loses power")
    await asyncio.sleep(2)
    for it in clients + beats:
        it.cancel()

    late = [(at - acknowledged, request) for it in away for at, request, *_ in it.runs
            if at > acknowledged + EVACUATION_S]
    evacuated = {request for it in away for _, request, *_ in it.runs}
    lost = [request for sent, request, status in answers
            if status in (None, 502, 504) and sent > acknowledged + EVACUATION_S and request in evacuated]
    served = sum(status == 200 for _, _, status in answers)
    record.say(f"{len(answers)} requests, {served} served")
    record.say(f"{len(late)} requests ran in zone-b later than evacuation_ms after the acknowledgement"
               + (f", the last after {late[-1][0]:.1f} s" if late else ""))
    record.say(f"{len(lost)} of them were lost when the zone went off: {lost}")
    return 1 if late else 0


sys.exit(run(FOLDER, play))
