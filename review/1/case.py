"""A rejected request is sent again on the connection of its rejection, where a surplus copy of that
rejection is taken for the answer to the second send."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import lab as lab_module
from engines import Engine

WINDOWS = 3  # spells of the trouble, which may come more than once
SPELL_S = 5.0  # `garble`, `extra late`: for_s = 5.0, share = 0.6 (here 1 of 2 engines), x = 0.03
SURPLUS_SHARE = 0.03
PAUSE_S = 3.0  # between two spells
FULL_EVERY_S = 0.7  # so often both engines are full for a moment, in any case
FULL_S = 0.08
WORK_S = 0.012
ROUTE = {"name": "seat-hold", "host": "a.example", "pathPrefix": "/hold/",
         "routeType": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
         "service": "seat-lock", "maxAttempts": 1}
CONFIG = {"routes": [ROUTE], "services": [{"name": "seat-lock", "maxConnections": 100}],
          "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                     "idleTimeoutMs": 20000}}


class SeatLock(Engine):
    """Rejects requests while it is full. While it is faulty, a few of its rejections are sent a
    second time, in the place where the next answer on the connection is due."""

    def __init__(self, lab, name, zone, shared):
        self.shared, self.faulty = shared, False
        self.answers = self.surplus = 0  # of the present spell
        self.runs = []
        self.guard = threading.Lock()
        super().__init__(lab, name, "seat-lock", zone)

    def handle(self, connection, arrival, state):
        late = state.pop("late", None)
        if late is not None:
            connection.sendall(late)
            self.lab.say("%s sends a surplus 503 before it answers %s" % (self.name, arrival.id))
        with self.guard:
            self.answers += 1
        if time.monotonic() < self.shared["full_until"]:
            text = self.answer_text(503, arrival, "Not-Executed: 1\r\n")
            self.lab.say("%s is full: 503 Not-Executed for %s" % (self.name, arrival.id))
            with self.guard:
                if self.faulty and self.surplus + 1 <= SURPLUS_SHARE * self.answers:
                    self.surplus += 1
                    state["late"] = text
            connection.sendall(text)
            return
        with self.guard:
            self.runs.append(arrival.id)
        self.lab.say("%s runs %s" % (self.name, arrival.id))
        time.sleep(WORK_S)
        body = ("held by %s for %s" % (self.name, arrival.id)).encode()
        self.answer(connection, 200, arrival, "Response-Seal: s.%s\r\n" % arrival.id, body)


def case(lab):
    trouble = lab_module.trouble_is_on()
    shared = {"full_until": 0.0}
    lab.start_store()
    lab.configure(CONFIG)
    engines = [SeatLock(lab, "i-1", "zone-1", shared), SeatLock(lab, "i-2", "zone-2", shared)]
    lab.start_node(0)
    lab.wait(lambda: lab.node_is_ready(0), "the node")
    time.sleep(2.0)  # the node learns that it is alone, and has its share of the retry budget
    statuses = {}
    next_full = time.monotonic() + FULL_EVERY_S
    for window in range(WINDOWS):
        for faulty, length_s in ((trouble, SPELL_S), (False, PAUSE_S)):
            with engines[0].guard:
                if faulty:
                    engines[0].answers = engines[0].surplus = 0
                engines[0].faulty = faulty
            until = time.monotonic() + length_s
            while time.monotonic() < until:
                if time.monotonic() >= next_full:
                    shared["full_until"] = time.monotonic() + FULL_S
                    next_full += FULL_EVERY_S
                name = "seat%04d" % len(statuses)
                reply = lab_module.request(lab.nodes[0]["front"], "POST", "/hold/x",
                                           {"Host": "a.example", "Request-Attempt-Id": name,
                                            "Request-Deadline-Ms": "1500"}, b"seat")
                statuses[name] = reply.status
                lab.say("client gets %d for %s" % (reply.status, name))
            if faulty:
                lab.say("spell %d: the faulty engine gave %d answers, %d of them twice" % (
                    window + 1, engines[0].answers, engines[0].surplus))
    time.sleep(1.0)
    for engine in engines:
        engine.open = False
    runs = [name for engine in engines for name in engine.runs]
    broken = []
    for name, status in statuses.items():
        if runs.count(name) > 1:
            broken.append("TWICE: %s ran %d times (client got %d)" % (name, runs.count(name),
                                                                      status))
        if runs.count(name) > 0 and status in (408, 421, 429, 503):
            lab.say("REFUSED besides: %s ran, and the client got %d" % (name, status))
    if list(statuses.values()).count(200) < len(statuses) / 2:
        raise lab_module.CannotRun("fewer than half of the requests were served")
    return broken


if __name__ == "__main__":
    sys.exit(lab_module.run(HERE, case))
