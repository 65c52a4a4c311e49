"""A request that crashes each worker that runs it, beside sound ones.

The workers that it crashes are back after some seconds, as a new incarnation
at the same address. Sound requests go on at all nodes meanwhile.
"""

import threading
import time

import client
import sample
import worker as workers

PATH = "/loan/crash"
BODY = b"the same body each time"


class Crashes:
    def __init__(self, fleet, desks, back_after_s):
        self.fleet = fleet
        self.back_after_s = back_after_s
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []
        self.all = []  # (time, worker id, request id)
        self.sound = 0  # Sound requests, and those of them without an answer.
        self.sound_broken = 0
        self.over = threading.Event()
        for i in range(2):
            workers.Worker(fleet.store, "llm", "%s.%d" % (fleet.net, 100 + i),
                           engine=True, run=workers.stream(10))
        for i in range(desks):
            workers.Worker(fleet.store, "desk", "%s.%d" % (fleet.net, 110 + i), slots=6,
                           run=self.run)

    def note(self, text):
        with self.lock:
            self.lines.append("%7.3f %s" % (time.monotonic() - self.start, text))

    def run(self, worker, request, connection):
        if request.path != PATH:
            return workers.plain(worker, request, connection)
        with self.lock:
            self.all.append((time.monotonic(), worker.id, request["X-Request-Id"]))
        self.note("run    %s at %s, which crashes" % (request["X-Request-Id"], worker.id))
        worker.crash()
        threading.Timer(self.back_after_s, worker.start).start()
        return False

    def send(self, node):
        """One arrival of the request that crashes, at this node."""
        request_id = client.new_id()
        it = client.Client(self.fleet.front(node))
        got = it.ask("GET", PATH, sample.fields(request_id), BODY)
        it.close()
        self.note("answer %s from node %d: %s" % (request_id, node,
                                                  got.status if got else "none"))

    def start_sound_requests(self):
        for i in range(2 * len(self.fleet.ips)):
            threading.Thread(target=self._sound, args=(i,), daemon=True).start()

    def _sound(self, number):
        it = client.Client(self.fleet.front(number % len(self.fleet.ips)))
        while not self.over.is_set():
            got = it.ask("GET", "/loan/%d" % number, sample.fields(client.new_id()))
            with self.lock:
                self.sound += 1
                self.sound_broken += got is None or got.status == 502
            self.over.wait(0.2)

    def retries(self, contact_s, counts_from=0.0):
        """Arrivals at workers later than `contact_s` after the third crash, and
        after `counts_from`."""
        if len(self.all) < 3:
            return 0
        since = max(self.all[2][0] + contact_s, counts_from)
        return sum(1 for at, _, _ in self.all[3:] if at > since)
