"""Stand-ins for the cases of the second review: clients, cache servers, parent, origin and event bus, written
from the users' protocol page, and the router as a process of the deploy file's command. Loopback only."""

import asyncio
import ctypes
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The set-up of a case failed, so that it says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.time()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


given_ports = set()


def free_port(udp=False):
    """A port below the range that the system gives to outgoing connections. None is given twice."""
    for _ in range(400):
        port = random.randrange(20000, 32000)
        if port in given_ports:
            continue
        try:
            with socket.socket() as s:
                s.bind(("127.0.0.1", port))
            if udp:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
                    s.bind(("127.0.0.1", port))
            given_ports.add(port)
            return port
        except OSError:
            continue
    raise CouldNotRun("no free port")


# ---- RESP -----------------------------------------------------------------------------------------------


def resp(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_resp(reader):
    head = await reader.readuntil(b"\r\n")
    if head[:1] != b"*":
        raise ValueError(f"no array: {head[:20]!r}")
    words = []
    for _ in range(int(head[1:])):
        size = await reader.readuntil(b"\r\n")
        if size[:1] != b"$":
            raise ValueError(f"no string: {size[:20]!r}")
        words.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
    return words


def fields_of(word):
    text = word.decode()
    return {} if text in ("", "-") else dict(pair.split("=", 1) for pair in text.split(","))


# ---- Cache servers, parent and origin ---------------------------------------------------------------------


class Copy:
    def __init__(self, version, made):
        self.version, self.made = version, made


class Server:
    """A sound cache server ("cache"), parent ("parent") or origin ("origin"). The body of an answer names the
    object and the version of the copy. Objects are the numbers that 16 hex digits stand for."""

    KINDS = ["cache", "parent", "origin"]

    def __init__(self, record, number, kind, zone, servers):
        self.record, self.kind, self.zone, self.servers = record, kind, zone, servers
        self.id = f"s-{number:08x}"
        self.number = number
        servers[self.id] = self
        self.copies = {}
        self.versions = {}  # origin: current version by object
        self.runs = {}  # by txn: number of times that it was run
        self.open = {}  # requests out, by txn
        self.seen = []  # (time, txn, fields) of all requests that came whole
        self.cancels = []  # (time, txn)
        self.out = []  # [txn, since, until] of each attempt: until it is answered or given up
        self.delay = lambda fields: 0.002
        self.spoil = lambda txn, answer: answer  # what the network makes of the bytes of an answer
        self.tasks = set()
        self.writers = set()
        self.port = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.connection, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    def member(self, state="ready"):
        return {"id": self.id, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": self.kind,
                "cell": 0, "phase": state, "size": 1, "up_since_ms": 0}

    def change(self, item):
        """Origin: a new version of an object."""
        self.versions[item] = self.versions.get(item, 1) + 1

    def drop_older(self, item, stamp):
        for key in [k for k, copy in self.copies.items() if k[0] == item and copy.made < stamp]:
            del self.copies[key]

    def fetch(self, item, chunk, maxage, held=False):
        """A copy for a fill by another server; None if there is none."""
        if self.kind == "origin":
            return None if held else Copy(self.versions.get(item, 1), time.time())
        copy = self.copies.get((item, chunk))
        if copy and (not maxage or time.time() - copy.made <= maxage):
            return copy
        if held:
            return None
        origin = next((s for s in self.servers.values() if s.kind == "origin"), None)
        copy = origin.fetch(item, chunk, maxage)
        if self.kind == "parent":
            self.copies[(item, chunk)] = copy
        return copy

    def answer(self, fields, body):
        """Status word, fields and body of an answer. Called when the request has had its time."""
        item, chunk = int(fields["item"], 16), fields["chunk"]
        maxage = float(fields.get("maxage", 0)) / 1e3
        if fields["cls"] == "order":
            if self.kind != "origin":
                source = self.servers.get(fields.get("src", ""))
                if source is None or source.kind != "origin":
                    return "not_here", "-", b""
            return "served", "tell=origin", body or b"done"
        copy, tell = self.copies.get((item, chunk)), "mem"
        if copy is None or (maxage and time.time() - copy.made > maxage) or self.kind == "origin":
            source = self.servers.get(fields.get("src", ""))
            if self.kind == "origin":
                source = self
            if source is None:
                return "not_here", "-", b""
            copy = source.fetch(item, chunk, maxage, "held" in fields.get("flags", "").split("+"))
            if copy is None:
                return "not_here", "tell=absent", b""
            tell = "origin" if source.kind == "origin" else "parent"
            if self.kind == "cache" and int(fields.get("keep", 0)) > 0:
                self.copies[(item, chunk)] = copy
        text = f"object {item:016x} part {chunk} version {copy.version}".encode()
        return "served", f"etag=v{copy.version},made={int(copy.made * 1e3)},tell={tell}", text

    async def serve(self, writer, txn, fields, body):
        interval = [txn, time.time(), float("inf")]
        self.out.append(interval)
        try:
            delay = self.delay(fields)
            if delay is None:
                await asyncio.sleep(3600)
            await asyncio.sleep(delay)
            self.runs[txn] = self.runs.get(txn, 0) + 1
            word, answer_fields, text = self.answer(fields, body)
            self.record(f"{self.id} ({self.kind}) answers {txn} {word} {answer_fields} {text[:60].decode()}")
            writer.write(self.spoil(txn, resp(txn, word, answer_fields, text)))
        except asyncio.CancelledError:
            self.record(f"{self.id} ({self.kind}) {txn} given up")
            raise
        finally:
            interval[2] = time.time()
            self.open.pop((id(writer), txn), None)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                words = await read_resp(reader)
                if words[0] == b"serve":
                    txn, fields = words[1].decode(), fields_of(words[2])
                    self.record(f"{self.id} ({self.kind}) receives {txn} {words[2].decode()}")
                    self.seen.append((time.time(), txn, fields))
                    body = words[3] if len(words) > 3 else b""
                    task = asyncio.create_task(self.serve(writer, txn, fields, body))
                    self.open[(id(writer), txn)] = task
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif words[0] == b"cancel":
                    txn = words[1].decode()
                    self.record(f"{self.id} ({self.kind}) receives cancel {txn}")
                    self.cancels.append((time.time(), txn))
                    task = self.open.get((id(writer), txn))
                    if task:
                        task.cancel()
                elif words[0] == b"purges" and hasattr(self, "command"):
                    writer.write(self.command(words))
                else:
                    raise ValueError(words[0])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            for key in [k for k in self.open if k[0] == id(writer)]:
                self.open[key].cancel()  # a closed connection gives up all that is open on it
            self.writers.discard(writer)
            writer.close()


# ---- The event bus ----------------------------------------------------------------------------------------


class Bus:
    """Numbers events from 1; event 1 is the list of the start, which the configuration holds."""

    STATES = {"ready": 0, "draining": 1, "gone": 2}

    def __init__(self, record, zones):
        self.record, self.zones = record, zones
        self.events = []  # frames of the events from 2 on
        self.writers = set()
        self.sent_up_to = 1  # newest event that was written to a router

    async def start(self):
        self.listener = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def frame(self, number, kind, payload=b""):
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    async def connection(self, reader, writer):
        try:
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            self.record(f"event bus: a router connects, its last event is {last}")
            for frame in self.events[max(last, 1) - 1:]:
                writer.write(frame)
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

    def tell(self, kind, payload, what):
        """Writes an event to all routers; it counts as told from now on."""
        number = len(self.events) + 2
        self.events.append(self.frame(number, kind, payload))
        for writer in self.writers:
            writer.write(self.events[-1])
        self.record(f"event bus tells event {number}: {what}")
        return time.time()

    def purge(self, item, stamp):
        return self.tell(3, struct.pack(">QQ", item, int(stamp * 1e3)), f"purge of object {item:016x}")

    def purge_group(self, group, stamp):
        return self.tell(4, struct.pack(">HQ", group, int(stamp * 1e3)), f"purge of group {group}")

    def state(self, server, state, started=0.0):
        payload = struct.pack(">IIHBBBHIQ", server.number, 0x7F000001, server.port, self.STATES[state],
                              self.zones.index(server.zone), Server.KINDS.index(server.kind), 0, 1000,
                              int(started * 1e3))
        return self.tell(2, payload, f"{server.id} is {state}")


# ---- The router -------------------------------------------------------------------------------------------


def settings(**changes):
    """The settings of a small deployment, with the figures of a site of the first brief (island-linen)."""
    base = {
        "allowed": {"cancel": True, "dial_timeout": 400, "idle_close": 15000, "max_attempts": 8,
                    "max_retry_after": 500, "may_tell": False, "probes": False, "retry_after": True,
                    "second_copies": False, "streams_per_conn": 32},
        "categories": [
            {"name": "sheets", "aim": 300, "aim_stretch": 2, "deadline": 3000, "effect": "free", "gain": 1,
             "group": "all", "late_worth": 0.1, "window": 0},
            {"name": "order", "aim": 600, "aim_stretch": 0, "deadline": 3000, "effect": "guarded", "gain": 3,
             "group": "all", "late_worth": 0.1, "window": 6000}],
        "failure_domains": ["hub", "edge"], "models": Server.KINDS, "fleet_size": 1, "locality": 1, "ordinal": 0,
        "registry_mode": "push", "report": {"names": [], "source": "none"}, "tick": 2, "tier": 0,
        "weights": "none",
        "rules": {"cold_from": 0.21, "drain_grace": 500, "fall_multiple": 4, "grace_to_answer": 8,
                  "overload_for": 1000, "warm_after": 17000},
        "specifics": {"class_fresh": [0, 0], "class_grace": [0, 0], "client_kb_per_s": 6000, "direct": True,
                      "in_parts": [False, False], "merges_fills": True, "notes_given": "all", "notice_time": 300,
                      "origin_kind": 2, "parent_warms_in": 21000, "pass_on": [False, True], "peers_fill": "none",
                      "purge_settles": 6000, "seats_by_zone": [0, 1], "second_tier_kind": 1,
                      "upper_cold_from": 0.087, "upper_fall_multiple": 2}}
    for path, value in changes.items():
        part = base
        *parents, last = path.split("__")
        for name in parents:
            part = part[name]
        part[last] = value
    return base


def command():
    """The deploy file's command for one router."""
    for line in (ROOT / "deploy/balancer.toml").read_text().splitlines():
        found = re.match(r'run = "([^"]*)"', line)
        if found:
            return found.group(1)
    raise CouldNotRun("the deploy file names no command")


def die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Router:
    def __init__(self, record, folder, name, members, bus, settings_, operator=""):
        self.record, self.name = record, name
        self.folder = pathlib.Path(folder) / name
        self.folder.mkdir(exist_ok=True)
        self.port = free_port()
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"revision": 1, "complete": True,
                                                                    "members": members}}]}
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                       "bus": f"127.0.0.1:{bus.port}" if bus else "", "flow_bytes_per_s": 6000000,
                       "link_bytes_per_s": 24000000, "known": known, "settings": settings_}
        (self.folder / "config.json").write_text(json.dumps(self.config))
        self.operator_file = self.folder / "walkpaddle.conf"
        self.operator_file.write_text(operator)
        self.has_operator_file = bool(operator)
        self.process = None

    def start(self):
        program = ROOT / "build/walkpaddle"
        if not program.exists():
            raise CouldNotRun("build/walkpaddle is missing: build it with the deploy file's command")
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "WALKPADDLE"))}
        environment.update(LB_NAME=self.name, LB_LISTEN=f"127.0.0.1:{self.port}",
                           LB_CONFIG=str(self.folder / "config.json"), TMPDIR=str(self.folder))
        if self.has_operator_file:
            environment["WALKPADDLE_FILE"] = str(self.operator_file)
        self.log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command()], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=die_with_parent)
        self.record(f"router {self.name} started")

    def log_text(self):
        return (self.folder / "log").read_text(errors="replace")

    def signal(self, number):
        self.record(f"router {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is not None:
            self.record(f"router {self.name} has ended by itself, code {self.process.returncode}")
        else:
            self.process.kill()
            self.process.wait()
        for line in self.log_text().splitlines():
            self.record(f"router {self.name} log: {line}")

    async def ready(self):
        for _ in range(150):
            if self.process.poll() is not None:
                raise CouldNotRun(f"router {self.name} ended: {self.log_text()[-400:]}")
            try:
                client = await Client(self.record, self, f"probe of {self.name}").connect()
                word = await client.alive()
                client.close()
                if word == "READY":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"router {self.name} is not ready: {self.log_text()[-400:]}")


# ---- Clients ----------------------------------------------------------------------------------------------


class Reply:
    def __init__(self, word, fields=None, body=b"", after=0.0, at=0.0, txn="", sent=0.0):
        self.word, self.fields, self.body, self.after, self.at = word, fields or {}, body, after, at
        self.txn, self.sent = txn, sent

    @property
    def version(self):
        found = re.search(rb"version (\d+)", self.body)
        return int(found.group(1)) if found else None


class Client:
    """One connection of a sound client. `request` gives a reply whose word is None if no answer came within
    the limit and GRACE more, "closed" if the connection ended."""

    GRACE = 0.5 + 0.05  # s; later the request is lost, and on sockets all limits are 50 ms longer

    def __init__(self, record, router, name):
        self.record, self.router, self.name = record, router, name
        self.waiting, self.tag = {}, 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.router.port, limit=1 << 20)
        self.task = asyncio.create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                words = await read_resp(self.reader)
                future = self.waiting.pop(words[0].decode(), None)
                if future and not future.done():
                    future.set_result(words)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(None)

    def open_one(self):
        self.tag += 1
        future = asyncio.get_running_loop().create_future()
        self.waiting[str(self.tag)] = future
        return str(self.tag), future

    async def alive(self):
        tag, future = self.open_one()
        self.writer.write(resp("ALIVE", tag, ""))
        try:
            words = await asyncio.wait_for(future, 1)
        except asyncio.TimeoutError:
            return None
        return words[1].decode() if words else None

    async def request(self, cls, item, limit_ms=1500, seg=0, bucket=1, upper=False, body=b""):
        tag, future = self.open_one()
        txn = f"{random.getrandbits(64):016x}"
        digits = f"{item:016X}" if upper else f"{item:016x}"
        fields = f"txn={txn},limit={limit_ms},item={digits},seg={seg},bucket={bucket}"
        if cls == "order":
            fields += f",unique={random.getrandbits(128):032x}"
        sent = time.time()
        self.record(f"{self.name} sends {txn} {cls} {fields}")
        self.writer.write(resp("EXEC", tag, cls, fields, body))
        try:
            words = await asyncio.wait_for(future, limit_ms / 1e3 + self.GRACE)
        except asyncio.TimeoutError:
            self.record(f"{self.name} has no answer to {txn} {limit_ms / 1e3 + self.GRACE:.2f} s after it was sent")
            self.waiting.pop(tag, None)
            self.writer.write(resp("FORGET", tag))
            return Reply(None, after=time.time() - sent, txn=txn, sent=sent)
        after = time.time() - sent
        if words is None:
            self.record(f"{self.name}: the connection ended before the answer to {txn}")
            return Reply("closed", after=after, txn=txn, sent=sent)
        reply = Reply(words[1].decode(), fields_of(words[2]) if len(words) > 2 else {},
                      words[3] if len(words) > 3 else b"", after, time.time(), txn, sent)
        self.record(f"{self.name} receives {txn} {reply.word} after {after:.3f} s: {reply.body[:60].decode()}")
        return reply

    def close(self):
        self.task.cancel()
        self.writer.close()


# ---- Running a case ---------------------------------------------------------------------------------------


def run_case(folder, case, limit=110):
    """Runs the coroutine function `case(record, folder, routers)`, which gives True if the rule was broken.
    Exits with 1 if it was, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="walkpaddle-review-")
    routers = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def bounded():
        return await asyncio.wait_for(case(record, temporary, routers), limit)

    code = COULD_NOT_RUN
    try:
        record(f"disruption: {'on' if TROUBLE else 'off (TROUBLE=0)'}")
        code = BROKEN if asyncio.run(bounded()) else HELD
    except CouldNotRun as e:
        record.say(f"the case could not run: {e}")
    except asyncio.TimeoutError:
        record.say(f"the case could not run: it took over {limit} s")
    except OSError as e:
        record.say(f"the case could not run: {e!r}")
    finally:
        for router in routers:
            router.end()
        shutil.rmtree(temporary, ignore_errors=True)
    record.say({HELD: "the rule held", BROKEN: "the rule was BROKEN", COULD_NOT_RUN: "no result"}[code])
    sys.stdout.flush()
    os._exit(code)
