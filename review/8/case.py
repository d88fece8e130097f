"""A purge that is accepted and confirmed after a router's restart must reach the cache servers."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import dns  # noqa: E402
import standins as s  # noqa: E402

ITEM = 0x7F3A9C21E0B4D655
ZONE = "depots.example"
LEASE = 1.0  # s: the promised delay
COPY_LIFE = 6  # s: no cache server keeps a copy for longer


class Box(s.Server):
    """A cache server that takes purges as commands (docs/purges.md): it has a cursor for each run of a router."""

    def __init__(self, *args):
        super().__init__(*args)
        self.cursors, self.drops = {}, []

    def command(self, words):
        verb, run = words[1].decode(), words[2].decode()
        if verb == "cursor":
            self.record(f"{self.id} tells cursor {self.cursors.get(run, 0)}")
            return s.resp("purges", "cursor", run, self.cursors.get(run, 0))
        position, kind, age_ms, target = int(words[3]), words[4].decode(), int(words[5]), words[6].decode()
        self.record(f"{self.id} is told to drop {kind} {target}, position {position}")
        self.drops.append(target)
        if kind == "object":
            self.drop_older(int(target, 16), time.time() - age_ms / 1e3)
        self.cursors[run] = position
        return s.resp("purges", "dropped", run, position)


async def purge(record, router, item):
    """The operator's command; gives its exit code."""
    arguments = ["build/walkpaddle", "purge", "--socket", str(router.folder / "s"), "object", f"{item:016x}", "--wait",
                 "--within", "8"]
    process = await asyncio.create_subprocess_exec(*arguments, cwd=s.ROOT, stdout=asyncio.subprocess.PIPE,
                                                   stderr=asyncio.subprocess.STDOUT)
    text = (await process.communicate())[0].decode()
    record(f"walkpaddle purge object {item:016x} --wait: exit code {process.returncode}: {text.strip()}")
    return process.returncode


async def fetch(record, address):
    """What a client that was led to this cache server gets."""
    reader, writer = await asyncio.open_connection(*address)
    txn = f"{random.getrandbits(64):016x}"
    writer.write(s.resp("serve", txn, f"cls=sheets,item={ITEM:016x},chunk=0,limit=1500,src=s-000000e1,keep=2", b""))
    words = await asyncio.wait_for(s.read_resp(reader), 3)
    writer.close()
    return s.Reply(words[1].decode(), s.fields_of(words[2]), words[3])


async def case(record, folder, routers):
    servers = {}
    origin = Box(record, 0xE1, "origin", "hub", servers)
    box = Box(record, 0xC1, "cache", "edge", servers)
    for server in servers.values():
        await server.start()
    bus = s.Bus(record, ["hub", "edge"])
    await bus.start()
    dns_port, fleet_port = s.free_port(udp=True), s.free_port(udp=True)
    home = pathlib.Path(folder) / "n1"
    operator = (f'fleet {{\n name = "n1"\n listen = "127.0.0.1:{fleet_port}"\n lease = {LEASE}\n'
                f' copy_life = {COPY_LIFE}\n}}\nstore {{ folder = "{home}/store" }}\ncontrol {{ socket = "{home}/s" }}\n'
                f'boxes {{ tell_purges = true }}\n'
                f'dns {{\n listen = "127.0.0.1:{dns_port}"\n zone = "{ZONE}"\n server = "ns.{ZONE}"\n use = 1\n}}\n')
    members = [server.member() for server in servers.values()]
    settings = s.settings(specifics__second_tier_kind=-1)
    router = s.Router(record, folder, "n1", members, bus, settings, operator)
    routers.append(router)
    router.start()
    await router.ready()
    for n in range(3):
        if await purge(record, router, 0x100 + n) != 0:
            raise s.CouldNotRun("a purge before the restart was not confirmed")
    await asyncio.sleep(COPY_LIFE + 2)  # these purges are older than any copy
    if s.TROUBLE:
        router.signal(signal.SIGTERM)
        if await asyncio.to_thread(router.process.wait, 10) != 0:
            raise s.CouldNotRun("the router did not end by itself")
        router.start()
        await router.ready()
    client = await s.Client(record, router, "client").connect()
    for _ in range(6):  # above the forwarding threshold the cache server keeps its copy
        await client.request("sheets", ITEM)
        await asyncio.sleep(0.1)
    if (ITEM, "0") not in box.copies:
        raise s.CouldNotRun("the cache server keeps no copy")
    origin.change(ITEM)
    code = await purge(record, router, ITEM)
    accepted_at = time.time()
    await asyncio.sleep(LEASE + 0.1)
    old, named = [], 0
    while time.time() < accepted_at + COPY_LIFE - 2:
        found = await dns.look_up(dns_port, f"{ITEM:016x}.sheets.{ZONE}")
        record(f"lookup: {found}")
        if found and found[0] == 0 and found[1]:
            named += 1
            reply = await fetch(record, found[1][0])
            record(f"the resolver's client gets {reply.word} {reply.body.decode()}")
            if reply.version == 1:
                old.append(time.time() - accepted_at)
        await asyncio.sleep(0.3)
    told = f"{ITEM:016x}" in box.drops
    record.say(f"the purge's command ended with {code}, the cache server was {'' if told else 'never '}told of it; "
               f"{len(old)} of {named} lookups after the promised delay led to a copy of before the purge")
    return code == 0 and not told and bool(old)


s.run_case(FOLDER, case, 100)
