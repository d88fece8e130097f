"""Noise in the fields of one answer must not end the router."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s  # noqa: E402

LIMIT_MS = 1500
NOISE = b"age=1,noise"


async def case(record, folder, routers):
    servers = {}
    s.Server(record, 0xE1, "origin", "hub", servers)
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
        if (await client.request("sheets", 0x2000 + n, LIMIT_MS)).word != "RESULT":
            raise s.CouldNotRun("the router serves no requests")

    spoilt = []

    def spoil(txn, answer):
        """One answer: noise where `made` and its figure stand. All lengths still fit."""
        at = answer.find(b"made=")
        if spoilt or at < 0:
            return answer
        end = answer.index(b",", at)
        spoilt.append(txn)
        tell = answer[end + 1:answer.index(b"\r\n", end)]
        fields = tell + b"," + NOISE
        fields += b"#" * (end - at - len(NOISE))
        record(f"the answer to {txn} is spoilt: {fields!r}")
        return answer[:at] + fields + answer[at + len(fields):]

    if s.TROUBLE:
        for server in servers.values():
            server.spoil = spoil
    replies = []
    for n in range(100):
        if router.process.poll() is not None:
            break
        replies.append(await client.request("sheets", 0x2000 + n % 40, LIMIT_MS))
        if replies[-1].word == "closed":
            await asyncio.sleep(0.3)
            break
        await asyncio.sleep(0.05)
    code = router.process.poll()
    record.say(f"{len(spoilt)} answers were spoilt; the router "
               + ("serves on" if code is None else f"ended by itself, code {code}"))
    return code is not None


s.run_case(FOLDER, case, 60)
