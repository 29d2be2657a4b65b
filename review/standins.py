"""Stand-ins for clients, workers, the platform's store and its machine service.

They follow PROTOCOL.md and DEPLOY.md of the platform and hold to the sheet of one small site (`BOUNDS`). Everything
listens on loopback, on ports that the system assigns. Used by the `run.sh` of the cases in this folder.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The sheet of kdas-nominate, as `fleetbench wire` prints the settings of its processes.
BOUNDS = dict(
    hold_max_ms=10000, stop_ms=900, harm_ms=4000, status_s=120, grace_s=6, contact_ms=3000, lease_ms=3000,
    upkeep_s=2, gang_ms=3000, ack_ms=4000, cancel_ms=3000, visible_ms=3000, finish_s=14,
)
PLATFORM = dict(parts=24, ttl_min_ms=1000, record_bytes=262144, call_bytes=2097152)
LIMITS = dict(cpu_share=0.25, cores=1, link_mbps=1000.0, memory_mb=260)
HEARTBEAT_S = 1.5
# The delay before the platform starts a process that has ended again.
RESTART_S = 0.5

# The longest time that a case plays, and the exit code if it shows a broken rule; `run.sh` maps that to 1, so that a
# fault of these stand-ins is not taken for one.
PLAY_S = 100
# Of Linux's prctl.
PR_SET_PDEATHSIG = 1
BROKEN = 10
# The time after which a task that lasts is at work, and the work of such a task.
START_S = 0.3
LASTS = 1e9

START = time.monotonic()


def now():
    """Seconds since this program began, by the steady clock."""
    return time.monotonic() - START


def end_with_parent(number):
    """Sends this process a signal when the one that started it ends, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, number)


class Record:
    """What was sent, answered and run, in `record.txt`; `run.sh` begins the file."""

    def __init__(self, path):
        self.file = open(path, "a", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f}  {text}\n")
        self.file.flush()


# HTTP


async def read_request(reader):
    """Reads one request; nothing at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    url = urllib.parse.urlsplit(target)
    return method, url.path, dict(urllib.parse.parse_qsl(url.query)), headers, body


def reply(status, value=b"", kind="application/json"):
    """An answer of a stand-in."""
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return status, body, kind


async def serve(handler, ip="127.0.0.1"):
    """Serves HTTP/1.1 with persistent connections; returns the server and its address."""

    async def connection(reader, writer):
        try:
            while True:
                answer = await handler(*await read_request(reader))
                if answer is None:
                    break
                status, body, kind = answer
                head = f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, ip, 0, limit=1 << 22)
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]


async def call(address, method, path, body=None, host="", deadline_ms=3000):
    """A client's request; returns the status and the body, or status 0 without an answer in time."""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\nContent-Type: application/json\r\n"
                f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + data)
            answer = await reader.read(-1)
        finally:
            writer.close()
        status = int(answer.split(b" ", 2)[1])
        return status, answer.partition(b"\r\n\r\n")[2]

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (asyncio.TimeoutError, ConnectionError, OSError, IndexError, ValueError):
        return 0, b""


# The platform's store


class Group:
    """A group; a partition passes on once its member joins with the new generation, leaves or falls silent."""

    def __init__(self, parts):
        self.parts, self.generation, self.members = parts, 0, {}
        self.dealt, self.held = {}, {}

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        self.dealt = {p: names[p % len(names)] for p in range(self.parts)} if names else {}
        self.since = {p: self.generation for p in range(self.parts)}

    def expire(self):
        gone = [m for m, (until, _) in self.members.items() if until < time.monotonic()]
        for member in gone:
            self.drop(member)

    def drop(self, member):
        if self.members.pop(member, None) is not None:
            self.held = {p: m for p, m in self.held.items() if m != member}
            self.deal()
            self.settle()

    def settle(self):
        for p, member in self.dealt.items():
            holder = self.held.get(p)
            if holder is None:
                self.held[p] = member
            elif holder != member and self.members[holder][1] >= self.generation:
                self.held[p] = member

    def join(self, member, ttl_ms, generation):
        self.expire()
        new = member not in self.members
        self.members[member] = (time.monotonic() + ttl_ms / 1000, 0 if new else generation)
        if new:
            self.deal()
        self.settle()
        return sorted(p for p, m in self.held.items() if m == member and self.dealt.get(p) == member)


class Partition:
    def __init__(self):
        self.records, self.writers = [], {}


class Store:
    """The platform's store: logs, the newest record of each key, and groups."""

    def __init__(self, record):
        self.record, self.topics, self.groups = record, {}, {}
        self.news = asyncio.Condition()
        self.refused = 0

    def part(self, topic, part):
        return self.topics.setdefault((topic, int(part)), Partition())

    async def put(self, topic, key, value):
        """Writes a record of a keyed topic, as the operator and the workers do."""
        name = key.encode()
        self.part(topic, 0).records.append(bytes([len(name)]) + name + value)
        async with self.news:
            self.news.notify_all()

    def newest_of(self, topic, part=0):
        items = {}
        for offset, data in enumerate(self.part(topic, part).records):
            size = data[0]
            items[data[1 : 1 + size].decode()] = (data[1 + size :], offset)
        return {key: item for key, item in items.items() if item[0]}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if path == "/api/log-append":
            return await self.append(query, body)
        if path == "/api/log-read":
            return await self.read(query)
        if path == "/api/log-newest":
            return self.newest(query)
        if path == "/api/log-owners":
            group = self.groups.get(query["group"])
            if group is None:
                return reply(200, {"owners": []})
            group.expire()
            rows = [["keyed.progress", p, m, 0] for p, m in sorted(group.held.items())]
            return reply(200, {"owners": rows})
        if path in ("/api/log-join", "/api/log-leave"):
            wanted = json.loads(body)
            group = self.groups.setdefault(wanted["group"], Group(PLATFORM["parts"]))
            if path == "/api/log-leave":
                group.expire()
                group.drop(wanted["member"])
                return reply(200, {})
            parts = group.join(wanted["member"], wanted["ttl_ms"], wanted["generation"])
            rows = [[wanted["topics"][0], p, 0] for p in parts]
            return reply(200, {"generation": group.generation, "parts": rows})
        return reply(404)

    async def append(self, query, body):
        records, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        largest = max(map(len, records), default=0)
        if largest > PLATFORM["record_bytes"] or len(body) > PLATFORM["call_bytes"]:
            self.refused += 1
            if self.refused <= 20 or self.refused % 100 == 0:
                self.record(
                    f"store refuses an append to {query['topic']} with a record of {largest} bytes "
                    f"(record_bytes {PLATFORM['record_bytes']}), refusal {self.refused}"
                )
            return reply(400, {"reason": "record_bytes"})
        part = self.part(query["topic"], query["part"])
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["call_seq"])
            seen = part.writers.get(query["producer"])
            if seen and epoch < seen["epoch"]:
                return reply(409, {"reason": "fenced"})
            if seen is None or epoch > seen["epoch"]:
                seen = part.writers[query["producer"]] = {"epoch": epoch, "calls": []}
            for call_seq, answer in seen["calls"]:
                if call_seq == seq:
                    return reply(200, answer)
            if seen["calls"] and seq != seen["calls"][-1][0] + 1:
                return reply(409, {"reason": "seq", "call_seq": seen["calls"][-1][0] + 1})
        answer = {"offset": len(part.records), "end": len(part.records) + len(records)}
        part.records.extend(records)
        if "producer" in query:
            seen["calls"] = (seen["calls"] + [(seq, answer)])[-5:]
        async with self.news:
            self.news.notify_all()
        return reply(200, answer)

    async def read(self, query):
        part, start = self.part(query["topic"], query["part"]), int(query["from"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while len(part.records) <= start and (left := end - time.monotonic()) > 0:
            try:
                async with self.news:
                    await asyncio.wait_for(self.news.wait(), left)
            except asyncio.TimeoutError:
                break
        data, size = [struct.pack(">QQ", len(part.records), 0)], 0
        for item in part.records[start:]:
            if size + len(item) > 1 << 20 and size:
                break
            size += len(item)
            data.append(struct.pack(">I", len(item)) + item)
        return reply(200, b"".join(data), "application/octet-stream")

    def newest(self, query):
        items = self.newest_of(query["topic"], int(query["part"]))
        keys = sorted(k for k in items if k > query.get("after", ""))
        page, size = [], 0
        for key in keys:
            value, offset = items[key]
            if len(page) == 500 or page and size + len(value) > 1 << 20:
                break
            size += len(value)
            page.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        end = len(self.part(query["topic"], query["part"]).records)
        return reply(200, {"items": page, "more": len(page) < len(keys), "end": end})


# Workers and their machines


class Machine:
    """A machine and its present worker: tasks, leases, fencing tokens, ends."""

    def __init__(self, site, number, cpu=32000, mem_mb=125000):
        self.site, self.name, self.number = site, f"m-{number}", number
        self.cpu, self.mem_mb = cpu, mem_mb
        self.life, self.state, self.down_for = 0, "up", None
        self.upkeeps = {}
        self.fence_of_duty = 0

    async def start(self):
        """Begins a life of the machine: a worker with an id of its own."""
        self.life += 1
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = time.monotonic()
        self.fence, self.until, self.runs, self.ends, self.closed, self.count = 0, 0, {}, [], {}, 0
        self.used_cpu, self.used_mem = 0, 0
        self.ended = asyncio.Event()
        if self.life == 1:
            self.server, self.address = await serve(self.handle)
        self.state = "up"
        self.site.record(f"worker {self.id} joins on {self.name}")
        await self.list_it()

    async def list_it(self):
        entry = {
            "service": "nomgate", "address": self.address, "zone": "attiki-a", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "call_seq": int(now() * 1000),
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": ["a", f"r1-{self.number // 8}"],
            "machine": self.name,
        }
        await self.site.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def die(self, why):
        """Ends this life: all that runs dies, and the entry goes."""
        for task, run in self.runs.items():
            self.site.record(f"run {task} #{run['run']} dies with worker {self.id} ({why})")
            run["done"] = True
        self.runs, self.state = {}, "down"
        await self.site.store.put("keyed.servers", self.id, b"")

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 1

    def tick(self):
        if self.state != "up":
            return
        clock, at = self.clock(), time.monotonic()
        for task, run in list(self.runs.items()):
            if clock > self.until:
                self.end(task, "lapsed")
            elif at >= run["over"]:
                self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.used_cpu -= run["cpu"]
        self.used_mem -= run["mem"]
        self.count += 1
        self.ends.append([self.count, task, run["run"], how, run["saved"]])
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.site.ended(self, task, run["run"], how)
        self.ended.set()

    def refuse(self, reason):
        return reply(409, {"clock_ms": self.clock(), "reason": reason})

    async def handle(self, method, path, query, headers, body):
        if self.state != "up":
            return None
        if headers.get("expect-instance", self.id) != self.id:
            return reply(421, {})
        life, wanted = self.life, json.loads(body or b"{}")
        fence = wanted.get("fence", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if path == "/api/run-start":
            return self.run_start(wanted)
        if path == "/api/run-stop":
            task, run = wanted["task"], wanted["run"]
            if task in self.runs and self.runs[task]["run"] == run:
                self.end(task, "stopped")
            self.closed[task] = max(self.closed.get(task, 0), run)
            return reply(200, {"clock_ms": self.clock()})
        if path == "/api/pace":
            return reply(200, {"clock_ms": self.clock()})
        if path == "/api/hold":
            if "until_ms" in wanted:
                self.grant(wanted["until_ms"])
            seen = wanted.get("last_seen", 0)
            self.ends = [e for e in self.ends if e[0] > seen]
            if not self.ends and wanted.get("wait_ms"):
                self.ended.clear()
                try:
                    await asyncio.wait_for(self.ended.wait(), min(wanted["wait_ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
                if self.life != life or self.state != "up":
                    return None
            return reply(200, self.lists())
        return reply(404)

    def grant(self, until):
        self.until = max(self.until, min(until, self.clock() + BOUNDS["hold_max_ms"]))

    def run_start(self, wanted):
        task, run = wanted["task"], wanted["run"]
        if wanted["until_ms"] <= self.clock():
            return self.refuse("late")
        self.grant(wanted["until_ms"])
        if task in self.runs and self.runs[task]["run"] == run:
            return reply(200, {"clock_ms": self.clock()})
        if task in self.runs or run <= self.closed.get(task, 0):
            return self.refuse("old")
        if self.site.advice.times and not self.site.advice.valid(task, self.id, wanted.get("ticket", "")):
            return self.refuse("ticket")
        cpu, mem, work, saves = self.site.shape(task)
        if self.used_cpu + cpu > self.cpu or self.used_mem + mem > self.mem_mb:
            return self.refuse("room")
        self.used_cpu += cpu
        self.used_mem += mem
        at = time.monotonic()
        self.runs[task] = {
            "run": run, "from": at, "over": at + work, "work": work, "saved": wanted.get("checkpoint", ""),
            "cpu": cpu, "mem": mem, "saves": saves,
        }
        self.site.started(self, task, run, wanted.get("spec", ""))
        return reply(200, {"clock_ms": self.clock()})

    def lists(self):
        at, running = time.monotonic(), []
        for task, run in self.runs.items():
            if run["saves"] and not run["saved"] and at - run["from"] >= 0.5:
                run["saved"] = f"{random.getrandbits(64):016x}"
            # A task that lasts is at work after a short start.
            work = START_S if run["work"] == LASTS else run["work"]
            percent = min(100 if run["work"] == LASTS else 99, int((at - run["from"]) / work * 100))
            running.append([task, run["run"], run["saved"], percent, run["cpu"]])
        return {"clock_ms": self.clock(), "running": running, "ended": self.ends[:500]}


class Cloud:
    """The machine service."""

    def __init__(self, site):
        self.site, self.broken, self.limit, self.waves = site, [], {}, {}
        self.on_begun = None

    async def handle(self, method, path, query, headers, body):
        machines = {m.name: m for m in self.site.machines}
        if path == "/api/machines":
            rows = [
                {
                    "machine": m.name, "pool": "nomgate", "state": m.state, "zone": "attiki-a", "labels": ["a"],
                    "capacity": {"cpu": m.cpu, "mem_mb": m.mem_mb, "gpu": 0}, "id": m.id,
                }
                for m in self.site.machines
            ]
            return reply(200, {"machines": rows})
        if path != "/api/machine-upkeep":
            return reply(404)
        wanted = json.loads(body)
        name, wave = wanted["machine"], wanted["wave"]
        holder, fence = headers.get("duty-holder", ""), int(headers.get("fencing-token", 0))
        answer = await self.upkeep(machines.get(name), name, wave, holder, fence)
        self.site.record(f"upkeep of {name} for wave {wave} by {holder} with token {fence}: {answer[0]} {answer[1].decode()}")
        return answer

    async def upkeep(self, machine, name, wave, holder, fence):
        if machine is None:
            return reply(400, {})
        if fence < machine.fence_of_duty:
            return reply(409, {"reason": "fence"})
        machine.fence_of_duty = fence
        if name not in self.waves.get(wave, ()):
            return reply(409, {"reason": "wave"})
        if wave in machine.upkeeps:
            return reply(200, {})
        if machine.state != "up":
            return reply(409, {"reason": "busy"})
        down = [m.name for m in self.site.machines if m.state == "upkeep" and m.down_for == wave]
        if len(down) >= self.limit[wave]:
            self.broken.append((now(), name, down))
            self.site.record(f"BROKEN: upkeep of {name} begins while {down} are down (upper_limit {self.limit[wave]})")
        machine.upkeeps[wave] = now()
        await machine.die(f"upkeep of {name}")
        machine.state, machine.down_for = "upkeep", wave
        self.site.spawn(self.bring_back(machine))
        if self.on_begun:
            self.site.spawn(self.on_begun(name, holder))
        return reply(200, {})

    async def bring_back(self, machine):
        await asyncio.sleep(BOUNDS["upkeep_s"])
        machine.down_for = None
        await machine.start()


class Advice:
    """The service that knows which workers a step may run on; it handles the calls of a machine one at a time."""

    # PROTOCOL.md: "when 32 are waiting, it answers 429".
    MAX_WAITING = 32

    def __init__(self, site):
        self.site, self.times, self.waiting, self.turn = site, None, 0, asyncio.Lock()
        self.tickets, self.answers, self.calls, self.refused, self.unheard = {}, 0, 0, 0, 0

    def permits(self, step, worker):
        """Three workers of four; this does not change."""
        return zlib.crc32(f"{step} {worker}".encode()) % 4 > 0

    async def handle(self, method, path, query, headers, body):
        if path != "/api/advise":
            return reply(404)
        wanted = json.loads(body)
        step, ids = wanted["step"], wanted["workers"]
        self.calls += 1
        if self.waiting >= self.MAX_WAITING:
            self.refused += 1
            return reply(429, {})
        asked = now()
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            await asyncio.sleep((self.times["decide_ms"] + self.times["each_ms"] * len(ids)) / 1000)
        self.answers += 1
        good = []
        for worker in ids:
            if self.permits(step, worker):
                ticket = f"{random.getrandbits(64):016x}"
                self.tickets[(step, worker, ticket)] = now() + self.times["valid_ms"] / 1000
                good.append([worker, ticket])
        self.site.record(f"advice on {step} for {len(ids)} workers: answer {now() - asked:.2f} s after the question, {self.waiting} wait")
        return reply(200, {"good": good})

    def valid(self, task, worker, ticket):
        step = task.rpartition(".")[0]
        return self.tickets.get((step, worker, ticket), 0) > now()


# Front hosts


def render(template, fields):
    """Fills a template of the deploy file, as DEPLOY.md tells it; only the gaps that the template uses."""

    def look(name, scopes):
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def fill(text, scopes, entry=None, key=None):
        def block(match):
            value = look(match[1], scopes)
            if isinstance(value, dict):
                return "".join(fill(match[2], [v if isinstance(v, dict) else {}] + scopes, v, k) for k, v in value.items())
            if isinstance(value, list):
                return "".join(fill(match[2], scopes, v, i) for i, v in enumerate(value))
            return fill(match[2], scopes, entry, key) if value else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", block, text, flags=re.S)

        def gap(match):
            if match[1] == "@":
                return str(key)
            value = entry if match[1] == "." else look(match[1], scopes)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@]+)\}\}", gap, text)

    return fill(template, [fields])


class Front:
    """A front host: the process of the deploy file, started again by the platform whenever it ends."""

    def __init__(self, site, number):
        self.site, self.number, self.name = site, number, f"front-attiki-a-{number}"
        self.process, self.wanted, self.ends, self.over_memory = None, True, 0, 0
        self.peak = 0

    async def prepare(self):
        # No other run of these stand-ins has this address: the port for metrics is fixed.
        pid = os.getpid()
        self.ip = f"127.{64 + self.number}.{pid >> 8 & 255}.{max(1, pid & 255)}"
        ports = []
        for _ in range(3):
            server = await asyncio.start_server(lambda r, w: None, self.ip, 0)
            ports.append(server.sockets[0].getsockname()[1])
            server.close()
            await server.wait_closed()
        clients, checks, peers = ports
        self.clients, self.checks = f"{self.ip}:{clients}", f"{self.ip}:{checks}"
        fields = {
            "node_name": self.name, "zone": "attiki-a", "zones": {"attiki-a": "attiki"}, "ip": self.ip,
            "listen": {"front": self.clients, "readiness": self.checks}, "internal_port_range": [peers, peers + 15],
            "platform": {"address": self.site.store_at, **PLATFORM}, "limits": LIMITS, "bounds": BOUNDS,
            "cloud": {"address": self.site.cloud_at}, "advice": self.site.advice_at,
        }
        deploy = tomllib.load(open(f"{ROOT}/deploy/system.toml", "rb"))["roles"]["front"]
        self.command = deploy["run"].split()
        template = open(f"{ROOT}/{deploy['template']}", encoding="utf-8").read()
        self.settings = f"{self.site.folder}/{self.name}.yaml"
        open(self.settings, "w", encoding="utf-8").write(render(template, fields))

    async def run(self):
        """Keeps the process running, as the platform does."""
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["MYRTLEPOST_CONFIG"] = self.settings
        while self.wanted:
            log = open(f"{self.site.folder}/{self.name}.log", "ab")
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=env, stdout=log, stderr=log,
                preexec_fn=lambda: end_with_parent(signal.SIGKILL),
            )
            log.close()
            self.site.record(f"{self.name} starts, process {self.process.pid}")
            watch = asyncio.create_task(self.watch_memory(self.process))
            code = await self.process.wait()
            watch.cancel()
            self.ends += 1
            self.site.record(f"{self.name} ended with {code}")
            if self.wanted:
                await asyncio.sleep(RESTART_S)

    async def watch_memory(self, process):
        """Kills the process once it goes over memory_mb, as the platform does."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            try:
                used = int(open(f"/proc/{process.pid}/statm").read().split()[1]) * page / 1e6
            except (OSError, IndexError):
                return
            self.peak = max(self.peak, used)
            if used > LIMITS["memory_mb"]:
                self.over_memory += 1
                self.site.record(f"{self.name} is at {used:.0f} MB, over memory_mb {LIMITS['memory_mb']}: killed")
                process.kill()
                return
            await asyncio.sleep(0.02)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        return (await call(self.checks, "GET", "/api/readiness", deadline_ms=500))[0] == 200


# The site


class Site:
    """A small site of one zone."""

    def __init__(self, record, hosts=3, machines=4, routes=1, advice=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.machines = [Machine(self, n) for n in range(machines)]
        self.fronts = [Front(self, n + 1) for n in range(hosts)]
        self.cloud = Cloud(self)
        self.advice = Advice(self)
        self.advice.times = advice
        self.tasks = set()
        self.runs = []
        self.specs = {}
        self.routes = [(f"nony{n}.example", f"/lohu{n}/") for n in range(routes)]

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # What workers know of tasks: by the text of their job.

    def shape(self, task):
        job, _, step, _ = task.split(".")
        return self.specs.get((job, int(step)), (100, 64, 0.2, False))

    def started(self, machine, task, run, spec):
        self.runs.append((now(), "start", task, run, machine.id, spec))
        if len(self.runs) < 4000:
            self.record(f"run {task} #{run} starts on {machine.id} with spec {spec[:40]!r}")

    def ended(self, machine, task, run, how):
        self.runs.append((now(), how, task, run, machine.id, ""))
        if len(self.runs) < 4000:
            self.record(f"run {task} #{run} ends {how} on {machine.id}")

    async def start(self, settle_s=10):
        """Starts everything; traffic may begin once it returns."""
        self.store_server, self.store_at = await serve(self.store.handle)
        self.cloud_server, self.cloud_at = await serve(self.cloud.handle)
        self.advice_server, self.advice_at = await serve(self.advice.handle)
        for machine in self.machines:
            await machine.start()
        config = {
            "version": 3,
            "routes": [
                {
                    "name": f"q{n}", "host": host, "path_prefix": prefix, "service": "nomgate", "timeout_ms": 3000,
                    "target_latency_ms": 1000, "priority": 0, "max_attempts": 3, "stretch": 2.0,
                    **({"advice": self.advice.times} if self.advice.times else {}),
                }
                for n, (host, prefix) in enumerate(self.routes)
            ],
            "services": [{"name": "nomgate", "rejects_overload": True}],
            "limits": {"max_body_bytes": 262144},
        }
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.spawn(self.beat())
        self.spawn(self.tick())
        for front in self.fronts:
            await front.prepare()
            self.spawn(front.run())
        end = now() + 20
        while now() < end and not (now() >= settle_s and all([await f.ready() for f in self.fronts])):
            await asyncio.sleep(0.2)
        if not all([await f.ready() for f in self.fronts]):
            raise RuntimeError("not all hosts are ready")

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for machine in self.machines:
                if machine.state == "up":
                    await machine.list_it()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            for machine in self.machines:
                machine.tick()

    def owner(self):
        """The host that owns the cell, by the store's group."""
        for name, group in self.store.groups.items():
            group.expire()
            member = group.held.get(0)
            if name.endswith("-0") and member:
                return next((f for f in self.fronts if member.startswith(f.name + "-")), None)
        return None

    async def ask(self, method, route, job, body=None, front=None, tries=1, deadline_ms=3000):
        """A client's request on a job, with retries at other hosts; returns the last status and body."""
        host, prefix = self.routes[route]
        for attempt in range(tries):
            at = front or random.choice(self.fronts)
            status, text = await call(at.clients, method, prefix + job, body, host, deadline_ms)
            self.record(f"{method} {prefix}{job} at {at.name}: {status or 'no answer'} {text[:80].decode(errors='replace').strip()}")
            if status in (200, 404, 410):
                break
            await asyncio.sleep(0.3)
            front = None
        return status, text

    async def hand_in(self, route, job, spec, steps, work_s=0.2, tries=4, front=None, **more):
        """Hands a job in; returns the last status."""
        for n, step in enumerate(steps):
            work = LASTS if step.get("long_running") else work_s
            shape = (step.get("cpu", 0), step.get("mem_mb", 0), work, step.get("checkpointing", False))
            self.specs[(job, n)] = shape
        body = {"spec": spec, "steps": steps, **more}
        return (await self.ask("POST", route, job, body, front, tries))[0]

    async def state(self, route, job, tries=3, deadline_ms=3000, front=None):
        status, text = await self.ask("GET", route, job, tries=tries, deadline_ms=deadline_ms, front=front)
        if status == 200:
            return json.loads(text)["state"]
        return status

    async def stop(self):
        for front in self.fronts:
            front.wanted = False
            front.signal(signal.SIGCONT)
            front.signal(signal.SIGKILL)
        for front in self.fronts:
            if front.process:
                try:
                    await asyncio.wait_for(front.process.wait(), 5)
                except asyncio.TimeoutError:
                    pass
        for task in list(self.tasks):
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play, **options):
    """Plays a case; exits with `BROKEN` if it returns a broken rule, 0 if none, 2 if it could not run."""
    end_with_parent(signal.SIGTERM)
    record = Record(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def body():
        # Also when this program is told to end, it ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        if not os.path.exists(f"{ROOT}/target/release/myrtle-front"):
            raise RuntimeError("target/release/myrtle-front is missing: build it first, as in deploy/system.toml")
        site = Site(record, **options)
        try:
            await site.start()
            return await asyncio.wait_for(play(site, trouble), PLAY_S)
        finally:
            await site.stop()

    try:
        broken = asyncio.run(body())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record("outcome: broken" if broken else "outcome: held")
    print("broken" if broken else "held")
    sys.exit(BROKEN if broken else 0)
