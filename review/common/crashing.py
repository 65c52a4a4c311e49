"""Workers that crash on some requests, and callers of their service."""

import http.client
import os
import random
import subprocess
import sys
import threading
import time

from fleet import HOST, free_ports

COMMON = os.path.dirname(os.path.abspath(__file__))
WORKER_DOWN_S = 2.0   # "The worker is back after some seconds."
KEY = "key-of-the-tenant"
PATH = "/ticket/7"


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

    def __init__(self, count, store, folder, record, *options):
        self.store, self.record, self.options = store, record, options
        self.log = os.path.join(folder, "runs.log")
        open(self.log, "w", encoding="utf-8").close()
        self.number, self.stopped = 0, False
        self.processes = [self.start() for _ in range(count)]
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def start(self):
        self.number += 1
        address = "127.0.0.1:%d" % free_ports(1)[0]
        return subprocess.Popen(
            [sys.executable, os.path.join(COMMON, "worker.py"),
             "i-%d" % self.number, "shop-desk", address, self.store, self.log,
             *self.options])

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


def call(node, request, body, patience=5):
    """Returns the status, or None if there was no answer in time."""
    connection = http.client.HTTPConnection(*node.address, timeout=patience)
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

    def __init__(self, fleet, record, count):
        self.fleet, self.record = fleet, record
        self.stopped = threading.Event()
        self.statuses = {}
        self.threads = [threading.Thread(target=self.run)
                        for _ in range(count)]
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
