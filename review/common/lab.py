"""Starts the store stand-in and edge nodes on loopback addresses, and offers small HTTP clients and
engines to the scripts of the cases. It uses the standard library only."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TARGET = os.path.join(ROOT, "target")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


def trouble_is_on():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(host, count):
    """Returns different ports that are free on the address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def render(template, fields):
    """Fills a settings template as DEPLOY.md describes it; only the forms that edge.conf uses."""

    def lookup(name, scope):
        if name in (".", "@", ","):
            return scope.get(name)
        value = fields
        for word in name.split("."):
            if isinstance(value, list):
                value = value[int(word)] if int(word) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(word)
            else:
                return None
        return value

    def section(match):
        value = lookup(match.group(1), {})
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return gaps(match.group(2), {})
        text = ""
        for i, (key, entry) in enumerate(entries):
            comma = "," if i + 1 < len(entries) else ""
            text += gaps(match.group(2), {".": entry, "@": key, ",": comma})
        return text

    def gaps(text, scope):
        def fill(match):
            value = lookup(match.group(1), scope)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^#^/{}]+)\}\}", fill, text)

    return gaps(re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S), {})


class Reply:
    def __init__(self):
        self.status = 0  # 0: the connection ended before a whole head
        self.headers = {}
        self.body = b""
        self.whole = False


class Connection:
    """A client's connection: one request at a time."""

    def __init__(self, address, timeout_s):
        self.socket = socket.create_connection(address, timeout=timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unread = b""

    def close(self):
        self.socket.close()

    def _more(self):
        data = self.socket.recv(65536)
        self.unread += data
        return bool(data)

    def _line(self):
        while b"\r\n" not in self.unread:
            if not self._more():
                return None
        line, self.unread = self.unread.split(b"\r\n", 1)
        return line.decode("latin-1")

    def _bytes(self, count):
        while len(self.unread) < count:
            if not self._more():
                return None
        data, self.unread = self.unread[:count], self.unread[count:]
        return data

    def send(self, method, path, headers, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % item for item in headers.items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read(self):
        reply = Reply()
        try:
            self._read(reply)
        except OSError:
            pass
        return reply

    def _read(self, reply):
        status = self._line()
        if status is None:
            return
        while True:
            line = self._line()
            if line is None:
                return
            if line == "":
                break
            name, value = line.split(":", 1)
            reply.headers[name.strip().lower()] = value.strip()
        reply.status = int(status.split()[1])
        if "chunked" in reply.headers.get("transfer-encoding", ""):
            while True:
                size = self._line()
                if size is None:
                    return
                data = self._bytes(int(size, 16) + 2)
                if data is None:
                    return
                if int(size, 16) == 0:
                    reply.whole = True
                    return
                reply.body += data[:-2]
        data = self._bytes(int(reply.headers.get("content-length", "0")))
        if data is not None:
            reply.body = data
            reply.whole = True


def request(address, method, path, headers, body=b"", timeout_s=10.0):
    """Sends one request on a connection of its own."""
    try:
        connection = Connection(address, timeout_s)
    except OSError:
        return Reply()
    try:
        connection.send(method, path, headers, body)
        return connection.read()
    except OSError:
        return Reply()
    finally:
        connection.close()


class Lab:
    def __init__(self, folder):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.version = 0
        self.nodes = []
        self.say("trouble %s" % ("on" if trouble_is_on() else "off"))

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        with self.lock:
            self.record_file.write("%8.3f %s\n" % (self.now(), text))
            self.record_file.flush()

    def _start(self, name, arguments, environment=None):
        log = open(os.path.join(self.temporary, name + ".log"), "ab")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        process = subprocess.Popen(arguments, cwd=ROOT, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL, env={**kept, **(environment or {})})
        log.close()
        self.processes.append(process)
        self.say("started %s" % name)
        return process

    def start_store(self):
        program = os.path.join(TARGET, "wb-standin-estate")
        if not os.path.exists(program):
            raise CannotRun("%s is missing; run review/build.sh" % program)
        store_port, control_port = free_ports("127.0.0.1", 2)
        self.store = ("127.0.0.1", store_port)
        self.control = ("127.0.0.1", control_port)
        self._start("store", [program, "%s:%d" % self.store, "%s:%d" % self.control])
        self.wait(lambda: request(self.control, "GET", "/", {"Host": "store"}).status == 200,
                  "the store")

    def command(self, **fields):
        reply = request(self.control, "POST", "/", {"Host": "store"}, json.dumps(fields).encode())
        if reply.status != 200:
            raise CannotRun("store command %s: %d" % (fields, reply.status))

    def put(self, table, key, value):
        """Writes a row as the platform, the operator or an engine does; None removes it."""
        if value is None:
            self.command(do="put", table=table, key=key)
        else:
            self.command(do="put", table=table, key=key, value=json.dumps(value))

    def configure(self, config):
        self.version += 3
        self.put("op", "config", {"version": self.version, **config})
        self.say("configuration %d acknowledged" % self.version)

    def start_node(self, index, fields=None):
        """Starts node `index` with the command and the template of the deploy file."""
        while len(self.nodes) <= index:
            host = "127.%d.%d.%d" % (random.randint(20, 250), random.randint(1, 250),
                                     len(self.nodes) + 1)
            ports = free_ports(host, 4)
            self.nodes.append({"host": host, "front": (host, ports[0]), "ready": (host, ports[1]),
                               "ports": ports[2:], "log": "node-%d" % len(self.nodes)})
        node = self.nodes[index]
        zones = ["zone-%d" % (i + 1) for i in range(3)]
        values = {
            "nodeId": "node-%d" % (index + 1), "ip": node["host"],
            "zone": zones[index % 3], "zones": {zone: "region" for zone in zones},
            "listen": {"front": "%s:%d" % node["front"], "ready": "%s:%d" % node["ready"]},
            "internalPorts": list(node["ports"]), "heartbeatMs": 1200,
            "platform": {"address": "%s:%d" % self.store},
            "limits": {"cpuShare": 0.25},
            "bounds": {"graceS": 8, "drainMs": 2000, "configMs": 2000, "leaseMs": 3000,
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
                       "ceilingWindowS": 5}}
        values.update(fields or {})
        with open(os.path.join(ROOT, "deploy", "edge.conf")) as template:
            text = render(template.read(), values)
        path = os.path.join(self.temporary, "node-%d.conf" % index)
        with open(path, "w") as settings:
            settings.write(text)
        program = os.path.join(TARGET, "wickbridge-edge")
        if not os.path.exists(program):
            raise CannotRun("%s is missing; run the build of deploy/system.toml" % program)
        node["process"] = self._start(node["log"], [program], {"WICKBRIDGE_BOOT": path})

    def node_is_ready(self, index):
        return request(self.nodes[index]["ready"], "GET", "/ready", {"Host": "r"}).status == 200

    def wait(self, condition, what, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun("%s did not come up" % what)
            time.sleep(0.02)

    def node_log(self, index):
        with open(os.path.join(self.temporary, self.nodes[index]["log"] + ".log"),
                  errors="replace") as log:
            return log.read()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.say("ended %d processes" % len(self.processes))
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def run(folder, case):
    """Runs a case, which returns the sentences that say how the rule was broken. Whatever goes wrong
    in the script itself says nothing about the rule."""
    lab = None

    def give_up(number, frame):
        raise CannotRun("ended by signal %d, SIGALRM after %d s" % (number, TIME_LIMIT_S))

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, give_up)
    signal.alarm(TIME_LIMIT_S)
    try:
        lab = Lab(folder)
        broken = case(lab)
        for sentence in broken:
            lab.say("BROKEN: " + sentence)
        lab.say("the rule %s" % ("was broken" if broken else "held"))
        result = BROKEN if broken else HELD
    except Exception as problem:
        print("could not run: %r" % problem, file=sys.stderr)
        if lab is not None:
            lab.say("could not run: %r" % problem)
        result = COULD_NOT_RUN
    finally:
        signal.alarm(0)
        if lab is not None:
            lab.close()
    return result
