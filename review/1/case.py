"""A worker that leaves gets requests that nodes gave up seconds before.

The link to one of three workers is cut for 3.2 s. It begins to leave just after
the cut. Counted are the requests that reach it later than drainTimeoutMs after
the store has taken that, and later than contactMs after the end of the cut.
"""

import http.client
import os
import random
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from case_runner import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from cuttable_proxy import Proxy  # noqa: E402
from fleet import CONTACT_S, HOST, Fleet  # noqa: E402
from store import HEARTBEAT_S, Server, Store  # noqa: E402

NODES = 3
WORKERS = 3
CALLERS = 24
CUT_S = 3.2
LEAVES_AFTER_S = 0.1   # After the end of the cut.
DRAIN_S = 2.0          # drainTimeoutMs
WORK_S = 0.015
KEY = "key-of-the-tenant"


def configuration():
    route = {"name": "ready-check", "host": HOST, "pathPrefix": "/ready/",
             "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 100,
             "priority": 0, "service": "dispatch-app", "public": False,
             "sticky": False, "canResume": False, "maxAttempts": 2,
             "gapAimMs": 500}
    return {"version": 3, "routes": [route],
            "services": [{"name": "dispatch-app", "healthPath": "/health",
                          "maxConnections": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "port", "apiKeys": [KEY]}]}


class Worker:
    """Serves in this process; a proxy stands before it."""

    def __init__(self, name, store, record):
        self.name, self.store, self.record = name, store, record
        self.state, self.arrivals = "ready", []
        server = Server(("127.0.0.1", 0), self.handler())
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.proxy = Proxy(server.server_address)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        threading.Thread(target=self.register, daemon=True).start()

    def write_entry(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": "dispatch-app", "address": self.proxy.address,
            "zone": "z", "version": "v1", "slots": 6, "state": self.state,
            "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born})

    def register(self):
        while True:
            self.write_entry()
            time.sleep(HEARTBEAT_S)

    def leave(self):
        """Returns when the store has taken it."""
        self.state = "draining"
        self.write_entry()
        return time.monotonic()

    def handler(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                request = self.headers["X-Request-Id"]
                if self.headers.get("X-Expect-Instance") != worker.name:
                    self.answer(421, request, {"X-Not-Executed": "1"}, b"")
                    return
                worker.arrivals.append((time.monotonic(), request))
                time.sleep(WORK_S)
                self.answer(200, request, {"X-Server-Signature": request},
                            b"answer")

            def answer(self, status, request, headers, body):
                self.send_response_only(status)
                self.send_header("X-Request-Id", request)
                for key, value in headers.items():
                    self.send_header(key, value)
                if worker.state != "ready":
                    self.send_header("Connection", "close")
                    self.close_connection = True
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        return Handler


class Callers:
    """Each sends one request after the other on a kept connection."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopped = threading.Event()
        self.answers = {}  # Time and status, by request.
        self.threads = [threading.Thread(target=self.run, args=(i,))
                        for i in range(CALLERS)]
        for it in self.threads:
            it.start()

    def run(self, number):
        node = self.fleet.nodes[number % NODES]
        connection = http.client.HTTPConnection(*node.address, timeout=5)
        while not self.stopped.wait(random.uniform(0.05, 0.15)):
            request = "r%d.%x" % (number, random.getrandbits(48))
            try:
                connection.request("GET", "/ready/1", headers={
                    "Host": HOST, "X-Request-Id": request,
                    "X-Request-Deadline-Ms": "1500",
                    "Authorization": "Bearer " + KEY})
                answer = connection.getresponse()
                answer.read()
                self.answers[request] = time.monotonic(), answer.status
            except (OSError, http.client.HTTPException):
                connection.close()
        connection.close()

    def stop(self):
        self.stopped.set()
        for it in self.threads:
            it.join()


def play(folder, record, trouble):
    store = Store(0)
    store.put("config", "main", configuration())
    workers = [Worker("i-%d" % i, store, record) for i in range(WORKERS)]
    fleet = Fleet(NODES, store.address, folder, random.randrange(1, 250))
    callers = None
    try:
        fleet.start(bootstrap=True)
        if not fleet.wait_until_ready(10):
            record.write("the nodes don't get ready")
            return NOT_RUN
        time.sleep(3.5)
        callers = Callers(fleet)
        time.sleep(4)
        leaving = workers[0]
        if trouble:
            leaving.proxy.cut(CUT_S)
            record.write(leaving.name + " is cut off")
        time.sleep(CUT_S)
        healed = time.monotonic()
        time.sleep(LEAVES_AFTER_S)
        left = leaving.leave()
        record.write(leaving.name + " leaves, as the store has taken")
        time.sleep(8)
        callers.stop()
        return judge(fleet, leaving, healed, left, record, callers)
    finally:
        if callers is not None:
            callers.stop()
        fleet.kill()


def judge(fleet, leaving, healed, left, record, callers):
    statuses = [status for _, status in callers.answers.values()]
    record.write("answers: %s" % {it: statuses.count(it)
                                  for it in set(statuses)})
    if statuses.count(200) < 100:
        return NOT_RUN
    if not all(it.in_touch(left + DRAIN_S) for it in fleet.nodes):
        return NOT_RUN
    late = [(at, request) for at, request in leaving.arrivals
            if at > left + DRAIN_S and at > healed + CONTACT_S]
    for at, request in late:
        answered, status = callers.answers.get(request, (None, None))
        record.write("%s reaches %s and runs %.0f ms after it left; its caller "
                     "was answered %s %s" % (
                         request, leaving.name, (at - left) * 1000, status,
                         "%.0f ms before" % ((at - answered) * 1000)
                         if answered else ""))
    record.write("requests later than %d ms: %d" % (DRAIN_S * 1000, len(late)))
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
