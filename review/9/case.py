"""A client of the lookup listener that sends messages without meaning at full speed must not stop the router."""

import asyncio
import pathlib
import socket
import struct
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import dns  # noqa: E402
import standins as s  # noqa: E402

ZONE = "depots.example"
FLOOD = 6.0  # s; a client may send that long
LIMIT_MS = 1500


def flood(port, seconds, sent):
    """Sends messages of one byte, which are no queries, over one connection. None of them has an answer."""
    block = (struct.pack(">H", 1) + b"x") * 1000000
    with socket.create_connection(("127.0.0.1", port)) as c:
        c.settimeout(0.5)
        until = time.time() + seconds
        while time.time() < until:
            try:
                c.sendall(block)
                sent.append(len(block))
            except socket.timeout:
                continue
            except OSError:
                return


async def case(record, folder, routers):
    servers = {}
    s.Server(record, 0xE1, "origin", "hub", servers)
    s.Server(record, 0xD1, "parent", "hub", servers)
    for n in range(2):
        s.Server(record, 0xC1 + n, "cache", "edge", servers)
    for server in servers.values():
        await server.start()
    bus = s.Bus(record, ["hub", "edge"])
    await bus.start()
    port = s.free_port(udp=True)
    operator = f'dns {{\n listen = "127.0.0.1:{port}"\n zone = "{ZONE}"\n server = "ns.{ZONE}"\n use = 1\n}}\n'
    members = [server.member() for server in servers.values()]
    router = s.Router(record, folder, "n1", members, bus, s.settings(), operator)
    routers.append(router)
    router.start()
    await router.ready()
    if await dns.look_up(port, f"{0x2000:016x}.sheets.{ZONE}") is None:
        raise s.CouldNotRun("the router answers no lookups")
    client = await s.Client(record, router, "client").connect()
    for n in range(10):
        if (await client.request("sheets", 0x2000 + n, LIMIT_MS)).word != "RESULT":
            raise s.CouldNotRun("the router serves no requests")
    sent, replies, tasks = [], [], []
    thread = None
    if s.TROUBLE:
        thread = threading.Thread(target=flood, args=(port, FLOOD, sent), daemon=True)
        thread.start()

    async def one(n):
        replies.append(await client.request("sheets", 0x2000 + n % 40, LIMIT_MS))

    until = time.time() + FLOOD
    n = 0
    while time.time() < until:
        if len(client.waiting) < 32:  # no more may be open on one connection
            tasks.append(asyncio.create_task(one(n)))
            n += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    if thread:
        thread.join(3)
    record(f"the flooding client sent {sum(sent)} bytes")
    lost = [r for r in replies if r.word is None]
    record.say(f"{len(replies)} requests of a sound client, {len(lost)} without an answer {LIMIT_MS / 1e3 + s.Client.GRACE:.2f} s "
               f"after they were sent")
    return bool(lost)


s.run_case(FOLDER, case, 60)
