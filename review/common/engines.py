"""A small engine for scripts: one thread a connection, HTTP/1.1, one request at a time on each."""

import socket
import threading
import time


class Arrival:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.id = headers.get("request-attempt-id", "")


class Engine:
    """Subclasses override handle(). The engine keeps its row in the store until it is closed."""

    def __init__(self, lab, name, service, zone, slots=6, models=None, port=0):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.slots, self.models = slots, models
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.open = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        self.announce()
        threading.Thread(target=self._beat, daemon=True).start()

    def announce(self):
        self.sequence += 1
        row = {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
               "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
               "sequence": self.sequence, "born": self.born}
        if self.models is not None:
            row["stage"] = "both"
            row["models"] = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        self.lab.put("servers", self.name, row)

    def _beat(self):
        while self.open:
            time.sleep(1.2)
            try:
                self.announce()
            except Exception:  # the store has ended
                return

    def _accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        state = {}
        unread = b""
        try:
            while True:
                while b"\r\n\r\n" not in unread:
                    data = connection.recv(65536)
                    if not data:
                        return
                    unread += data
                head, unread = unread.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(unread) < length:
                    data = connection.recv(65536)
                    if not data:
                        return
                    unread += data
                body, unread = unread[:length], unread[length:]
                arrival = Arrival(method, path, headers, body)
                expected = headers.get("expected-instance")
                if expected is not None and expected != self.name:
                    self.answer(connection, 421, arrival, "Not-Executed: 1\r\n")
                else:
                    self.handle(connection, arrival, state)
        except OSError:
            pass
        finally:
            connection.close()

    def answer_text(self, status, arrival, headers="", body=b""):
        return ("HTTP/1.1 %d Answer\r\nRequest-Attempt-Id: %s\r\nKeep-Alive: timeout=5\r\n"
                "%sContent-Length: %d\r\n\r\n" % (status, arrival.id, headers,
                                                  len(body))).encode() + body

    def answer(self, connection, status, arrival, headers="", body=b""):
        connection.sendall(self.answer_text(status, arrival, headers, body))

    def handle(self, connection, arrival, state):
        raise NotImplementedError
