"""While a release hands over in place, a request on a new connection must have its answer in time."""

import asyncio
import pathlib
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import standins as s  # noqa: E402

LIMIT_MS = 1500  # half of the class's time limit, the shortest try of the users' clients
ORDER = 0.36  # s at the origin
SLOWER, SLOWEST = 8, 20  # times, and for how many seconds at most
CHANGE = """change "c1" {{
 work = release
 program = "{program}"
 before = "g1"
 after = "g2"
 by = "ana"
 stages = {{0, 1}}
 txns = 20
 least = 2
 longest = 90
 warm_up = 1
 ready_in = 10
}}
"""


def operator_file(folder, names, ports, n):
    peers = "".join(f' peer "{names[p]}" {{ address = "127.0.0.1:{ports[p]}" }}\n'
                    for p in range(len(names)) if p != n)
    changes = pathlib.Path(folder) / names[n] / "changes"
    changes.mkdir(parents=True)
    if n == 1:
        (changes / "c1.conf").write_text(CHANGE.format(program=s.ROOT / "build/walkpaddle"))
    return (f'fleet {{\n name = "{names[n]}"\n listen = "127.0.0.1:{ports[n]}"\n purges = false\n share = true\n'
            f'{peers}}}\nchanges {{\n folder = "{changes}"\n generation = "g1"\n protocol = "{folder}/protocol"\n}}\n')


async def orders(record, router, n, until):
    """A client that keeps its connection and sends one order after the other."""
    await asyncio.sleep(0.29 * n)
    while not until.is_set():
        try:
            client = await s.Client(record, router, f"order client {n} of {router.name}").connect()
            while not until.is_set():
                reply = await client.request("order", 0x9000 + n, limit_ms=3000)
                if reply.word in (None, "closed"):
                    break
                await asyncio.sleep(0.05)
            client.close()
        except OSError:
            pass
        await asyncio.sleep(0.05)


async def one_request(record, router, n, replies):
    """A client that connects, sends one request and stays."""
    try:
        client = await s.Client(record, router, f"new client {n} of {router.name}").connect()
    except OSError as e:
        return record(f"new client {n} of {router.name} cannot connect: {e}")
    replies.append(await client.request("sheets", 0x2000 + n % 40, limit_ms=LIMIT_MS))
    client.close()


async def newcomers(record, router, until, replies):
    n, tasks = 0, []
    while not until.is_set():
        tasks.append(asyncio.create_task(one_request(record, router, n, replies)))
        n += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)


async def case(record, folder, routers):
    servers = {}
    origin = s.Server(record, 0xE1, "origin", "hub", servers)
    s.Server(record, 0xD1, "parent", "hub", servers)
    for n in range(2):
        s.Server(record, 0xC1 + n, "cache", "edge", servers)
    for server in servers.values():
        await server.start()
    slow = SLOWER if s.TROUBLE else 1
    origin.delay = lambda fields: slow * (ORDER if fields["cls"] == "order" else 0.005)
    bus = s.Bus(record, ["hub", "edge"])
    await bus.start()
    members = [server.member() for server in servers.values()]
    releases = s.ROOT / "build/protocol/present"
    if not releases.exists():
        raise s.CouldNotRun("build/protocol is missing")
    for generation in ("g1", "g2"):
        shutil.copytree(releases, pathlib.Path(folder) / "protocol" / generation)
    names = ["n1", "n2", "n3"]
    ports = [s.free_port(udp=True) for _ in names]
    settings = s.settings(fleet_size=3, specifics__seats_by_zone=[0, 3])
    for n, name in enumerate(names):
        routers.append(s.Router(record, folder, name, members, bus, settings,
                                operator_file(folder, names, ports, n)))
    for router in routers:
        router.start()
    for router in routers:
        await router.ready()
    stop, replies, tasks, began = asyncio.Event(), [], [], time.time()
    for router in routers:
        tasks.append(asyncio.create_task(newcomers(record, router, stop, replies)))
        tasks += [asyncio.create_task(orders(record, router, n, stop)) for n in range(10)]
    for _ in range(400):
        await asyncio.sleep(0.1)
        moved = [r for r in routers if "this router runs g2" in r.log_text()]
        if moved:
            break
    else:
        raise s.CouldNotRun("no router took the release: " + routers[1].log_text()[-600:])
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)
    if time.time() > began + SLOWEST:
        raise s.CouldNotRun("the origin was slow for longer than the pages allow")
    for router in routers:
        if router.process.poll() is not None:
            raise s.CouldNotRun(f"router {router.name} ended")
    lost = [r for r in replies if r.word is None]
    closed = sum(r.word == "closed" for r in replies)
    record.say(f"{len(replies)} requests on new connections, {len(lost)} without an answer {LIMIT_MS / 1e3 + s.Client.GRACE:.2f} s "
               f"after they were sent, {closed} whose connection ended")
    return bool(lost)


s.run_case(FOLDER, case, 100)
