"""A spoilt answer, whose count of strings is too small, must not reach a client as a served object."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s  # noqa: E402


async def case(record, folder, routers):
    servers = {}
    origin = s.Server(record, 0xE1, "origin", "hub", servers)
    s.Server(record, 0xD1, "parent", "hub", servers)
    for n in range(3):
        s.Server(record, 0xC1 + n, "cache", "edge", servers)
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
    for n in range(20):
        if (await client.request("sheets", 0x2000 + n)).word != "RESULT":
            raise s.CouldNotRun("the router serves no requests")

    spoilt = []

    def spoil(txn, answer):
        """One of twenty good answers: the count of strings says 3 where 4 follow."""
        spoil.count += 1
        if spoil.count % 20 or not answer.startswith(b"*4\r\n"):
            return answer
        spoilt.append(txn)
        record(f"the answer to {txn} is spoilt: its count of strings is 3, 4 follow")
        return b"*3\r\n" + answer[4:]

    spoil.count = 0
    if s.TROUBLE:
        for server in servers.values():
            server.spoil = spoil
    replies = []
    for n in range(200):
        reply = await client.request("sheets", 0x2000 + n % 40)
        replies.append((0x2000 + n % 40, reply))
        await asyncio.sleep(0.01)
    served = [(item, r) for item, r in replies if r.word == "RESULT"]
    wrong = [r for item, r in served if r.fields.get("notmod") != "1"
             and r.body != f"object {item:016x} part 0 version 1".encode()]
    if len(served) < len(replies) / 2:
        raise s.CouldNotRun("too few requests were served")
    for r in wrong:
        record(f"{r.txn}: RESULT with {len(r.body)} bytes, which no server made for it")
    record.say(f"{len(spoilt)} answers were spoilt, {len(wrong)} of {len(served)} answers RESULT are not what a "
               f"server made")
    return bool(wrong)


s.run_case(FOLDER, case, 60)
