"""A write whose count of strings is too small must not be forwarded without its body, nor answered as served."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s  # noqa: E402

BODY = b"7 sheets, 12 towels to room 31"


async def write(record, router, n):
    """One client, which sends one write; the first length says 4 strings where 5 follow."""
    reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
    txn = f"{random.getrandbits(64):016x}"
    fields = f"txn={txn},limit=3000,unique={random.getrandbits(128):032x},item={0x9000 + n:016x},seg=0,bucket=1"
    message = s.resp("EXEC", 1, "order", fields, BODY)
    if s.TROUBLE:
        message = b"*4" + message[2:]
    record(f"client {n} sends {message!r}")
    writer.write(message)
    try:
        words = await asyncio.wait_for(s.read_resp(reader), 3.5)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        words = [b"1", b"no answer"]
    writer.close()
    record(f"client {n} receives {words[1].decode()}")
    return txn, words[1].decode()


async def case(record, folder, routers):
    servers = {}
    origin = s.Server(record, 0xE1, "origin", "hub", servers)
    s.Server(record, 0xD1, "parent", "hub", servers)
    s.Server(record, 0xC1, "cache", "edge", servers)
    for server in servers.values():
        await server.start()
    bodies = {}
    answer = origin.answer

    def run(fields, body):
        bodies[fields["item"]] = body
        return answer(fields, body)

    origin.answer = run
    bus = s.Bus(record, ["hub", "edge"])
    await bus.start()
    members = [server.member() for server in servers.values()]
    router = s.Router(record, folder, "n1", members, bus, s.settings())
    routers.append(router)
    router.start()
    await router.ready()
    answers = [await write(record, router, n) for n in range(10)]
    served = sum(word == "RESULT" for _, word in answers)
    wrong = [item for item, body in bodies.items() if body != BODY]
    record.say(f"{len(answers)} writes, {served} answered RESULT, {len(bodies)} run at the origin, {len(wrong)} of them "
               f"without the body that the client sent")
    if not s.TROUBLE and served < len(answers):
        raise s.CouldNotRun("sound writes were not served")
    return bool(wrong) or (s.TROUBLE and served > 0)


s.run_case(FOLDER, case, 60)
