"""A purge must hold for a request that writes the object's 16 hex digits in capitals."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s  # noqa: E402

ITEM = 0x7F3A9C21E0B4D655
NOTICE = 0.3 + 0.05  # specifics.notice_time, and 50 ms as on all limits on sockets
SETTLES = 6.0


async def case(record, folder, routers):
    servers = {}
    origin = s.Server(record, 0xE1, "origin", "hub", servers)
    parent = s.Server(record, 0xD1, "parent", "hub", servers)
    cache = s.Server(record, 0xC1, "cache", "edge", servers)
    for server in servers.values():
        await server.start()
    bus = s.Bus(record, ["hub", "edge"])
    await bus.start()
    members = [server.member() for server in servers.values()]
    router = s.Router(record, folder, "n1", members, bus, s.settings())
    routers.append(router)
    router.start()
    await router.ready()
    client = await s.Client(record, router, "client").connect()

    for _ in range(6):  # above the forwarding threshold the cache keeps its copy
        reply = await client.request("sheets", ITEM, upper=True)
        await asyncio.sleep(0.1)
    if reply.word != "RESULT" or (ITEM, "0") not in cache.copies:
        raise s.CouldNotRun("the cache server keeps no copy")

    purged_at = None
    if s.TROUBLE:
        origin.change(ITEM)
        purged_at = time.time()
        bus.purge(ITEM, purged_at)
    began = time.time()
    replies = []
    while time.time() < began + SETTLES - 1:  # the servers drop their old copies within the settle time
        replies.append(await client.request("sheets", ITEM, upper=True))
        await asyncio.sleep(0.15)
    if s.TROUBLE:
        for server in (cache, parent):
            server.drop_older(ITEM, purged_at)
    replies.append(await client.request("sheets", ITEM, upper=True))
    small = await client.request("sheets", ITEM)

    sent = {txn: at for at, txn, _ in cache.seen + parent.seen + origin.seen}  # the last hop of each
    old = [r for r in replies if s.TROUBLE and r.word == "RESULT" and r.version == 1
           and sent.get(r.txn, 0) > purged_at + NOTICE]
    record(f"the same object in small letters: version {small.version}")
    served = sum(r.word == "RESULT" for r in replies)
    if served < len(replies) * 0.9:
        raise s.CouldNotRun(f"only {served} of {len(replies)} requests were served")
    if old:
        record.say(f"{len(old)} of {len(replies)} answers came from the copy of before the purge; their requests "
                   f"reached the server {min(sent[r.txn] for r in old) - purged_at:.2f} to "
                   f"{max(sent[r.txn] for r in old) - purged_at:.2f} s after the router was told")
    else:
        record.say(f"none of {len(replies)} answers came from a copy of before the purge")
    return bool(old)


s.run_case(FOLDER, case, 60)
