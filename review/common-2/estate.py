"""Stand-ins for the users' platform on loopback: the store of rows, engines, nodes and clients.

Only the standard library is used. Everything runs in one asyncio loop, except the nodes, which are
processes of their own, started as the deploy file says. Times are seconds of the monotonic clock.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "wickbridge-edge")
TEMPLATE = os.path.join(ROOT, "deploy", "edge.conf")
ROW_LIMIT = 500

# A script that is told to stop ends the processes that it started first.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.start, text))
        self.file.flush()


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Message:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers
        self.body = b""

    def get(self, name, fallback=None):
        return self.headers.get(name.lower(), fallback)


async def read_head(reader):
    """Returns the next message's head, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


def text_of(status, headers, body=b""):
    reasons = {200: "OK", 202: "Accepted", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable", 404: "Not Found"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: rows, transactions with conditions, and the feed of changes."""

    def __init__(self):
        self.rows = {}  # (table, key) -> [value or None, version]
        self.version = 100
        self.changed = asyncio.Condition()
        self.address = None

    async def open(self, host):
        server = await asyncio.start_server(self.serve, host, 0, limit=16 << 20)
        self.address = "%s:%d" % server.sockets[0].getsockname()
        self.server = server

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            text = None
            if value is not None:
                text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, key)] = [text, self.version]
            self.changed.notify_all()

    def answer(self, rows, more=False):
        return {"rows": rows, "more": more, "ver": self.version, "now_ms": int(now() * 1000)}

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        row = {"table": table, "part": "", "key": key, "ver": version}
        row.update({"gone": True} if value is None else {"value": value})
        return row

    async def transaction(self, body):
        async with self.changed:
            found = []
            holds = True
            for entry in body.get("expectedVersion", []):
                place = (entry["table"], entry["key"])
                known = self.rows.get(place)
                version = known[1] if known is not None and known[0] is not None else 0
                holds = holds and version == entry["ver"]
                if version:
                    found.append(self.row(*place))
            if not holds:
                return 412, self.answer(found)
            self.version += 1
            for entry in body.get("put", []):
                self.rows[(entry["table"], entry["key"])] = [entry.get("value", ""), self.version]
            for entry in body.get("remove", []):
                self.rows[(entry["table"], entry["key"])] = [None, self.version]
            self.changed.notify_all()
            return 200, self.answer([])

    def read(self, query):
        table = query["table"]
        keys = sorted(key for (name, key), row in self.rows.items()
                      if name == table and row[0] is not None and key >= query.get("startRev", ""))
        page = keys[:ROW_LIMIT]
        return 200, self.answer([self.row(table, key) for key in page], len(keys) > len(page))

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = now() + int(query.get("waitMs", 0)) / 1000
        async with self.changed:
            while True:
                rows = sorted((self.row(table, key) for (name, key), row in self.rows.items()
                               if name == table and row[1] > after), key=lambda row: row["ver"])
                left = until - now()
                if rows or left <= 0:
                    return 200, self.answer(rows[:ROW_LIMIT])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(int(head.get("content-length", 0)))
                target = urllib.parse.urlsplit(head.first.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                if target.path == "/rows-tx":
                    status, answer = await self.transaction(json.loads(body))
                elif target.path == "/rows-get":
                    status, answer = self.read(query)
                elif target.path == "/rows-feed":
                    status, answer = await self.feed(query)
                else:
                    status, answer = 404, {}
                writer.write(text_of(status, {"Content-Type": "application/json"},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Engine:
    """A sound engine of a service with plain calls: it runs each request once and answers."""

    def __init__(self, store, record, service, zone, slots, work_s=0.02):
        self.store, self.record = store, record
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.id = "i-%08x" % random.getrandbits(32)
        self.sequence = 0
        self.read_rate = 0  # bytes a second in which bodies are read; 0: as fast as they come
        self.runs = {}  # request id -> number of runs
        self.seen = set()  # ids of requests whose head has arrived
        self.running = 0

    async def open(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=64 * 1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        await self.beat()
        self.beats = asyncio.ensure_future(self.beat_on())

    async def beat(self):
        self.sequence += 1
        await self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0,
            "sequence": self.sequence})

    async def beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def read_body(self, reader, length):
        left = length
        while left > 0:
            piece = await reader.read(min(left, 64 * 1024))
            if not piece:
                return False
            left -= len(piece)
            if self.read_rate:
                await asyncio.sleep(len(piece) / self.read_rate)
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                id = head.get("request-attempt-id", "")
                self.seen.add(id)
                self.record("%s %s reaches engine %s, %s body bytes" % (
                    head.first.split(" ")[0], id, self.id, head.get("content-length", "0")))
                if not await self.read_body(reader, int(head.get("content-length", 0))):
                    self.record("%s ends at engine %s before its body" % (id, self.id))
                    break
                echo = {"Request-Attempt-Id": id, "Keep-Alive": "timeout=5",
                        "Server-Load": "%d,0,%d" % (self.running, self.slots)}
                if head.get("expected-instance", self.id) != self.id:
                    writer.write(text_of(421, dict(echo, **{"Instance-Id": self.id})))
                    continue
                if self.running >= self.slots:
                    writer.write(text_of(503, dict(echo, **{"Not-Executed": "1"})))
                    continue
                self.runs[id] = self.runs.get(id, 0) + 1
                self.running += 1
                self.record("%s runs at engine %s" % (id, self.id))
                await asyncio.sleep(self.work_s)
                self.running -= 1
                body = b"" if head.first.startswith("HEAD") else b"done " + id.encode()
                seal = "%08x.%s" % (random.getrandbits(32), id)
                writer.write(text_of(200, dict(echo, **{"Response-Seal": seal}), body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Node:
    """An edge machine: the program of the role, with the deploy file's settings."""

    def __init__(self, record, store, name, host, zone, zones, folder, values=None):
        self.record, self.name, self.host, self.folder = record, name, host, folder
        self.front = "%s:%d" % (host, free_port(host))
        self.ready = "%s:%d" % (host, free_port(host))
        self.process = None
        self.fields = {"nodeId": name, "zone": zone, "ip": host, "listen.front": self.front,
                       "listen.ready": self.ready, "internalPorts.0": free_port(host),
                       "internalPorts.1": free_port(host), "platform.address": store.address,
                       "heartbeatMs": 1200, "limits.cpuShare": 0.25, "bounds.graceS": 8,
                       "bounds.drainMs": 2000, "bounds.configMs": 2000, "bounds.leaseMs": 3000,
                       "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
                       "bounds.budgetSlack": 54, "bounds.ceilingWindowS": 5}
        self.fields.update(values or {})
        self.zones = zones

    def settings(self):
        """Fills the deploy file's template, as the platform does."""
        import re
        text = open(TEMPLATE, encoding="utf-8").read()
        listed = ",".join("%s=%s" % item for item in self.zones.items())
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", listed, text)

        def section(match):
            return match.group(2) if match.group(1) in self.fields else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(self.fields.get(match.group(1), "")),
                      text)

    async def start(self):
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, stdout=log, stderr=log,
            env={"WICKBRIDGE_BOOT": path, "PATH": os.environ.get("PATH", "")})
        self.record("node %s starts" % self.name)

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head.first
        except OSError:
            return False

    async def wait_ready(self, seconds):
        until = now() + seconds
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def memory_mb(self, field="VmRSS"):
        try:
            for line in open("/proc/%d/status" % self.process.pid, encoding="ascii"):
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def request_text(method, path, id, deadline_ms, body=b"", headers=None):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: desk.example", "Request-Attempt-Id: " + id,
             "Request-Deadline-Ms: %d" % deadline_ms]
    lines += ["%s: %s" % item for item in (headers or {}).items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader):
    """Returns (status, head, body, whole); status 0: the connection ended before a head."""
    head = await read_head(reader)
    if head is None:
        return 0, None, b"", False
    status = int(head.first.split(" ")[1])
    try:
        if head.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                body += data[:-2]
                if size == 0:
                    return status, head, body, True
        body = await reader.readexactly(int(head.get("content-length", 0)))
        return status, head, body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, head, b"", False


def folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def loopback_host(index):
    """A loopback address of this run, so that the fixed port for operators is free."""
    return "127.%d.%d.%d" % (64 + os.getpid() % 64, 1 + os.getpid() // 64 % 250, index)
