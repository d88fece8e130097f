"""A purge must hold after a new configuration, though the new event bus is crowded and answers late."""

import asyncio
import json
import pathlib
import signal
import struct
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s  # noqa: E402

ITEM = 0x7F3A9C21E0B4D655
WAIT = 2.5  # s that the crowded bus takes before it writes to a new connection
TOLD_AFTER = 4.0  # s after SIGHUP at which what the bus has to tell counts as told
NOTICE = 0.3 + 0.05  # specifics.notice_time, and 50 ms as on all limits on sockets
SETTLES = 6.0


class CrowdedBus(s.Bus):
    async def connection(self, reader, writer):
        try:
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            self.record(f"new event bus: a router connects, its last event is {last}")
            if s.TROUBLE:
                await asyncio.sleep(WAIT)
            for frame in self.events[max(last, 1) - 1:]:
                writer.write(frame)
            writer.write(self.frame(len(self.events) + 1, 0))
            await writer.drain()
            self.record(f"new event bus: has written the events after {last}, "
                        + ("to nobody, the router has left" if reader.at_eof() else "the router is there"))
            self.writers.add(writer)
            while True:
                await asyncio.sleep(1)
                writer.write(self.frame(len(self.events) + 1, 0))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def case(record, folder, routers):
    servers = {}
    origin = s.Server(record, 0xE1, "origin", "hub", servers)
    parent = s.Server(record, 0xD1, "parent", "hub", servers)
    cache = s.Server(record, 0xC1, "cache", "edge", servers)
    for server in servers.values():
        await server.start()
    old_bus, new_bus = s.Bus(record, ["hub", "edge"]), CrowdedBus(record, ["hub", "edge"])
    await old_bus.start()
    await new_bus.start()
    members = [server.member() for server in servers.values()]
    router = s.Router(record, folder, "n1", members, old_bus, s.settings())
    routers.append(router)
    router.start()
    await router.ready()
    client = await s.Client(record, router, "client").connect()
    for _ in range(20):  # above the forwarding threshold the cache keeps its copy
        reply = await client.request("sheets", ITEM)
        await asyncio.sleep(0.1)
    if reply.word != "RESULT" or (ITEM, "0") not in cache.copies:
        raise s.CouldNotRun("the cache server keeps no copy")

    router.config["bus"] = f"127.0.0.1:{new_bus.port}"
    (router.folder / "config.new").write_text(json.dumps(router.config))
    (router.folder / "config.new").rename(router.folder / "config.json")
    hangup_at = time.time()
    router.signal(signal.SIGHUP)
    old_bus.listener.close()
    await asyncio.sleep(0.2)
    origin.change(ITEM)
    purged_at = time.time()
    new_bus.purge(ITEM, purged_at)

    async def close_old():
        await asyncio.sleep(hangup_at + 1.5 - time.time())
        for writer in list(old_bus.writers):
            writer.close()

    closing = asyncio.create_task(close_old())
    replies = []
    while time.time() < purged_at + SETTLES - 0.1:
        replies.append(await client.request("sheets", ITEM))
        await asyncio.sleep(0.05)
    await closing
    for server in (cache, parent):  # by now no older copy is left anywhere
        server.drop_older(ITEM, purged_at)
    last = await client.request("sheets", ITEM)
    if last.word != "RESULT" or last.version != 2:
        raise s.CouldNotRun("the new version is not served in the end")

    sent = {}
    for at, txn, _ in cache.seen + parent.seen + origin.seen:
        sent[txn] = max(at, sent.get(txn, 0))
    told_at = hangup_at + TOLD_AFTER
    old = [sent[r.txn] for r in replies
           if r.word == "RESULT" and r.version == 1 and sent.get(r.txn, 0) > told_at + NOTICE]
    record.say(f"{len(old)} of {len(replies)} answers came from the copy of before the purge and were sent later than "
               f"{TOLD_AFTER + NOTICE:.2f} s after SIGHUP" + (f", the last {max(old) - hangup_at:.2f} s after" if old else ""))
    return bool(old)


s.run_case(FOLDER, case, 60)
