"""A request that crashes its workers comes again after all nodes were killed.

The caller sends the same request every 4.1 s. Three workers crash on it. Then
all nodes are killed at the same moment and started again. Counted are the
retries that reach a worker, sent by machines in touch, later than contactMs
after the third crash.
"""

import http.client
import os
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
COMMON = os.path.join(FOLDER, "..", "common")
sys.path.insert(0, COMMON)

from fleet import CONTACT_S, HOST, Fleet, Record, free_ports  # noqa: E402
from store import Store  # noqa: E402

NODES = 3
WORKERS = 8
RETRY_S = 4.1
ATTEMPTS = 25
RESTART_S = 0.5       # Of a node that was killed.
WORKER_DOWN_S = 2.0   # "The worker is back after some seconds."
MOST_RETRIES = 3
KEY = "key-of-the-tenant"
PATH = "/ticket/7"
BODY = b"crash this worker"


def configuration():
    route = {"name": "ticket", "host": HOST, "pathPrefix": "/ticket/",
             "kind": "non_idempotent", "timeoutMs": 2000,
             "targetLatencyMs": 300, "priority": 2, "service": "shop-desk",
             "public": False, "sticky": False, "canResume": False,
             "maxAttempts": 1, "gapAimMs": 500}
    return {"version": 3, "routes": [route],
            "services": [{"name": "shop-desk", "healthPath": "/health",
                          "maxConnections": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "shop", "apiKeys": [KEY]}]}


class Workers:
    """Starts workers, and starts those that crashed again, as new ones."""

    def __init__(self, store, folder, record):
        self.store, self.record = store, record
        self.log = os.path.join(folder, "runs.log")
        open(self.log, "w", encoding="utf-8").close()
        self.number, self.stopped = 0, False
        self.processes = [self.start() for _ in range(WORKERS)]
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def start(self):
        self.number += 1
        address = "127.0.0.1:%d" % free_ports(1)[0]
        return subprocess.Popen(
            [sys.executable, os.path.join(COMMON, "worker.py"),
             "i-%d" % self.number, "shop-desk", address, self.store, self.log])

    def watch(self):
        ended = {}
        while not self.stopped:
            time.sleep(0.05)
            now = time.monotonic()
            for i, it in enumerate(self.processes):
                if it.poll() is None:
                    continue
                since = ended.setdefault(i, now)
                if since == now:
                    self.record.write("a worker crashed")
                if now - since >= WORKER_DOWN_S:
                    self.processes[i] = self.start()
                    del ended[i]

    def stop(self):
        self.stopped = True
        self.thread.join()
        for it in self.processes:
            it.kill()
            it.wait()

    def runs(self):
        """Times of the runs, by request."""
        out = {}
        with open(self.log, encoding="utf-8") as file:
            for line in file:
                at, worker, _, request = line.split()
                out.setdefault(request, []).append((float(at), worker))
        return out


def call(node, request, body):
    """Returns the status, or None if there was no answer."""
    connection = http.client.HTTPConnection(*node.address, timeout=5)
    try:
        connection.request("POST", PATH, body=body, headers={
            "Host": HOST, "X-Request-Id": request,
            "X-Request-Deadline-Ms": "4000", "Authorization": "Bearer " + KEY})
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Callers:
    """Usual callers, whose requests are sound."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.stopped = threading.Event()
        self.statuses = {}
        self.threads = [threading.Thread(target=self.run) for _ in range(4)]
        for it in self.threads:
            it.start()

    def run(self):
        while not self.stopped.wait(random.uniform(0.2, 0.4)):
            request = "s%x" % random.getrandbits(60)
            status = call(random.choice(self.fleet.nodes), request,
                          b"a ticket")
            self.statuses[status] = self.statuses.get(status, 0) + 1

    def stop(self):
        self.stopped.set()
        for it in self.threads:
            it.join()


def play(folder, record, trouble):
    store = Store(0)
    store.put("config", "main", configuration())
    workers = Workers(store.address, folder, record)
    fleet = Fleet(NODES, store.address, folder, random.randrange(1, 250))
    callers = None
    try:
        fleet.start(bootstrap=True)
        if not fleet.wait_until_ready(10):
            record.write("the nodes don't get ready")
            return 2
        time.sleep(1)
        callers = Callers(fleet, record)
        time.sleep(1)
        sent = send_again_and_again(fleet, workers, record, trouble)
        return judge(fleet, workers, record, callers, sent)
    finally:
        if callers is not None:
            callers.stop()
        fleet.kill()
        workers.stop()
        store.server.shutdown()


def send_again_and_again(fleet, workers, record, trouble):
    """Returns for each request its id and the node that took it."""
    began = time.monotonic()
    sent, crashes, killed = [], [], False
    for i in range(ATTEMPTS):
        time.sleep(max(began + i * RETRY_S - time.monotonic(), 0))
        node = random.choice(fleet.nodes)
        request = "c%02d" % i
        at = time.monotonic()
        status = call(node, request, BODY)
        runs = workers.runs().get(request, [])
        record.write("%s sent to %s: answered %s, run by %s" % (
            request, node.name, status, [it[1] for it in runs] or "nobody"))
        sent.append((request, node, at))
        crashes += runs
        if len(crashes) >= 3 and trouble and not killed:
            killed = True
            record.write("all nodes are killed")
            fleet.kill()
            time.sleep(RESTART_S)
            fleet.start(bootstrap=False)
            record.write("all nodes are started again")
    return sent


def judge(fleet, workers, record, callers, sent):
    runs = workers.runs()
    crashes = sorted(at for request, _, _ in sent
                     for at, _ in runs.get(request, []))
    record.write("workers crashed: %d; answers to others: %s" % (
        len(crashes), callers.statuses))
    if len(crashes) < 3 or not callers.statuses.get(200):
        return 2
    third = crashes[2]
    counted = [request for request, node, at in sent
               if any(run > third + CONTACT_S and node.in_touch(at)
                      for run, _ in runs.get(request, []))]
    record.write("retries that reached workers, sent later than %d ms after "
                 "the third crash by machines in touch: %d (%s), at most %d"
                 % (CONTACT_S * 1000, len(counted), " ".join(counted),
                    MOST_RETRIES))
    return 1 if len(counted) > MOST_RETRIES else 0


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = tempfile.mkdtemp(prefix="review-")
    try:
        result = play(folder, record, trouble)
    finally:
        if "KEEP" not in os.environ:
            shutil.rmtree(folder)
        else:
            print(folder)
    record.write("exit %d" % result)
    return result


if __name__ == "__main__":
    sys.exit(main())
