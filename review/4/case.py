"""An engine crashes while it sends streams that may be resumed; the next engine fails some of them.

Clients check each byte: a stream may hold only the events that engines made for it, in order.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from estate import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 72
EVENTS = 16
PAUSE_S = 0.08
ERROR_EVERY = 7  # of an engine's requests, as seat-release's error_share of 0.14
ERROR_PAGE = b"<p>the drafting step failed; what follows is the state of the step</p>\r\n\r\n" * 1000


def event(id, number):
    return ("id: %d\r\ndata: part %d of %s\r\n\r\n" % (number, number, id)).encode()


class Streams(Engine):
    """A sound engine of a streaming service; one request in ERROR_EVERY ends with its own 500."""

    requests = 0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await reader.readexactly(int(head.get("content-length", 0)))
                id = head.get("request-attempt-id", "")
                first = int(head.get("last-event-id", 0)) + 1
                echo = {"Request-Attempt-Id": id, "Keep-Alive": "timeout=5"}
                if head.get("expected-instance", self.id) != self.id:
                    writer.write(text_of(421, dict(echo, **{"Instance-Id": self.id})))
                    continue
                seal = "%08x" % random.getrandbits(32)
                self.requests += 1
                if self.requests % ERROR_EVERY == 0:
                    self.record("%s from event %d fails at engine %s: 500" % (id, first, self.id))
                    writer.write(text_of(500, dict(echo, **{"Response-Seal": seal}), ERROR_PAGE))
                    await writer.drain()
                    continue
                self.record("%s from event %d runs at engine %s" % (id, first, self.id))
                writer.write(("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Seal: %s\r\n"
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                              "\r\n" % (id, seal)).encode())
                for number in range(first, EVENTS + 1):
                    data = event(id, number)
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def crash(self):
        """The process ends: nothing listens any more, and its connections are reset."""
        self.record("engine %s crashes" % self.id)
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(3.6)
        await self.store.put("servers", self.id, None)


async def read_stream(reader):
    """Returns (status, bytes of the body, whether it ended as complete)."""
    head = await read_head(reader)
    if head is None:
        return 0, b"", False
    status = int(head.first.split(" ")[1])
    body = b""
    try:
        if head.get("transfer-encoding") != "chunked":
            return status, await reader.readexactly(int(head.get("content-length", 0))), True
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            body += data[:-2]
            if size == 0:
                return status, body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, body, False


async def client(record, node, id, found):
    host, port = node.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    record("%s is sent" % id)
    writer.write(request_text("POST", "/draft/", id, 10000, b"prompt of " + id.encode()))
    status, body, whole = await read_stream(reader)
    writer.close()
    made = b"".join(event(id, number) for number in range(1, EVENTS + 1))
    if status == 200 and not made.startswith(body):
        at = next(i for i in range(len(body)) if body[i:i + 1] != made[i:i + 1])
        text = "%s gets 200, %s, with %d bytes that no event holds, from byte %d on: %r" % (
            id, "complete" if whole else "broken off", len(body) - len(made) if whole else
            len(body) - at, at, body[at:at + 40])
        record("MIXED  " + text)
        found.append(text)
    elif status == 200 and whole and body != made:
        record("ORDER  %s ends as complete after %d bytes" % (id, len(body)))
        found.append(id)
    else:
        record("%s gets %d, %d bytes, %s" % (id, status, len(body), "complete" if whole else
                                             "broken off"))
    return status == 200 and whole and body == made


async def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    with folder() as place:
        store = Store()
        await store.open(loopback_host(1))
        await store.put("op", "config", configuration(7, [
            {"name": "r-prio", "host": "desk.example", "pathPrefix": "/draft/",
             "routeType": "streaming", "timeoutMs": 10000, "targetLatencyMs": 4000, "priority": 1,
             "service": "assistant", "maxAttempts": 3, "resumable": True, "targetGapMs": 400}],
            [{"name": "assistant", "healthPath": "/health", "maxConnections": 360,
              "protocol": "h1", "tls": False}]))
        engines = [Streams(store, record, "assistant", "oslo-a", 64) for _ in range(4)]
        for index, engine in enumerate(engines):
            await engine.open(loopback_host(20 + index))
        node = Node(record, store, "edge-oslo-a-1", loopback_host(2), "oslo-a",
                    {"oslo-a": "oslo"}, place)
        await node.start()
        try:
            if not await node.wait_ready(20):
                record("the node isn't ready")
                return 2
            found = []
            running = []
            for number in range(STREAMS):
                running.append(asyncio.ensure_future(
                    client(record, node, "stream-%02d" % number, found)))
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            crash = asyncio.ensure_future(engines[0].crash()) if TROUBLE else None
            served = sum(await asyncio.gather(*running))
            record("%d of %d streams are served whole, %d hold foreign bytes" % (
                served, STREAMS, len(found)))
            if crash is not None:
                await crash
            if node.process.returncode is not None or served == 0:
                return 2
            record("verdict: %s" % ("broken" if found else "held"))
            return 1 if found else 0
        finally:
            await node.end()


sys.exit(asyncio.run(asyncio.wait_for(main(), 60)))
