"""Targets in trouble answer some requests with bytes that look like a switch to another protocol."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (HOST, Gateway, Store, Target, config, free_hosts, limits, message, new_id, route,  # noqa: E402
                         run, service)

CLIENTS, REQUESTS = 8, 60
TARGETS = 4
# The largest dose of `garble`: half of the targets spoil two in a hundred of their answers.
FAULTY, SPOILED = 2, 50
PIECE = b"bytes that are no response "
FOREIGN = PIECE * 100_000


async def exchange(gateway, request_id):
    """Sends a request on a connection of its own and returns all bytes that come back within three seconds."""
    host, _, port = gateway.frontend.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST /book/seat HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                 "X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n".encode())
    received = bytearray()
    try:
        async with asyncio.timeout(3):
            while part := await reader.read(1 << 20):
                received += part
                head, _, body = bytes(received[:4096]).partition(b"\r\n\r\n")
                length = [it for it in head.lower().split(b"\r\n") if it.startswith(b"content-length:")]
                if length and len(received) - len(head) - 4 >= int(length[0].split(b":")[1]):
                    break
    except (OSError, TimeoutError):
        pass
    writer.close()
    return bytes(received)


async def play(record, scratch, trouble, started):
    store = Store(record)
    await store.start()

    async def behave(target, request_id, _reader, writer):
        await asyncio.sleep(0.02)
        target.answers += 1
        if trouble and target.faulty and target.answers % SPOILED == 0:
            record.say(f"{target.id} answers {request_id} with a line of status 101 and {len(FOREIGN)} bytes")
            writer.write(b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + FOREIGN)
            await writer.drain()
            await asyncio.sleep(4)  # the target does not break off: the connection stays open
            return False
        signed = [*target.fields(request_id), ("X-Response-Signature", f"sig.{request_id}")]
        writer.write(message(200, signed, request_id.encode()))
        return True

    targets = [Target(record, "bookings", behave=behave) for _ in range(TARGETS)]
    for n, it in enumerate(targets):
        it.faulty, it.answers = n < FAULTY, 0
        await it.start()
        store.put("servers", it.id, it.entry())
    store.put("config", "main",
              config(1, [route("book", "/book/", "non_idempotent", "bookings"), service("bookings"), limits()]))
    hosts = free_hosts(1)
    gateway = Gateway(scratch, record, "gateway-0", hosts[0], store.address, hosts)
    started.append(gateway)
    gateway.start()
    if not await gateway.wait_until_ready():
        record.say("the gateway does not become ready")
        return 2

    wrong, served = [], 0

    async def client():
        nonlocal served
        for _ in range(REQUESTS):
            request_id = new_id()
            received = await exchange(gateway, request_id)
            line = received.split(b"\r\n", 1)[0].decode("latin-1")
            status = line.split(" ")[1] if line.startswith("HTTP/1.1 ") else ""
            is_response = status.isdigit() and len(status) == 3 and 200 <= int(status) <= 599
            foreign = received.count(PIECE)
            record.write(f"client gets {line!r}, {len(received)} bytes, for {request_id}")
            served += status == "200" and received.endswith(request_id.encode())
            if foreign > 0 or (received and not is_response):
                record.say(f"client gets {line!r} and {foreign} pieces of the foreign bytes for {request_id}")
                wrong.append(request_id)

    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    record.say(f"{CLIENTS * REQUESTS} requests, {served} served, {len(wrong)} clients got bytes that are no answer")
    if not trouble and served < CLIENTS * REQUESTS:
        return 2
    return 1 if wrong else 0


sys.exit(run(FOLDER, play))
