#!/usr/bin/env python3
"""A stand-in for a worker of a plain service, as a process of its own.

    worker.py ID SERVICE IP:PORT STORE LOG [--born MS]

It registers itself in the store and writes its entry every heartbeat. It
crashes when it begins to run a request whose body begins with "crash". It
appends one line to LOG for each request that it runs. SIGUSR1: it reports that
it is draining, and serves on until it is ended.
"""

import http.client
import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler

from store import HEARTBEAT_S, Server

SLOTS = 6


class Worker:
    def __init__(self, name, service, address, store, log, born):
        self.name, self.service, self.address = name, service, address
        self.store, self.born = store, born
        self.log = os.open(log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.state, self.sequence = "ready", 0
        self.changed = threading.Event()
        self.slots = threading.Semaphore(SLOTS)

    def note(self, what, request):
        line = "%.6f %s %s %s\n" % (time.monotonic(), self.name, what, request)
        os.write(self.log, line.encode())

    def register(self):
        """Writes the entry, and again every heartbeat and at each change."""
        while True:
            self.changed.clear()
            self.sequence += 1
            entry = {"service": self.service, "address": self.address,
                     "zone": "z", "version": "v1", "slots": SLOTS,
                     "state": self.state, "coldRemainingMs": 0,
                     "sequence": self.sequence, "born": self.born}
            body = json.dumps({"metadata": {"name": self.name}, "spec": entry})
            for method, path in (("PUT", "/" + self.name), ("POST", "")):
                call = http.client.HTTPConnection(self.store, timeout=2)
                try:
                    call.request(method, "/api/objects/servers" + path,
                                 body=body)
                    if call.getresponse().status == 200:
                        break
                except OSError:
                    break
                finally:
                    call.close()
            self.changed.wait(HEARTBEAT_S)

    def drain(self, *_):
        self.state = "draining"
        self.changed.set()

    def handler(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_any(self):
                size = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(size)
                request = self.headers.get("X-Request-Id")
                if self.path == "/health":
                    healthy = worker.state == "ready"
                    self.answer(200 if healthy else 503, request,
                                {"X-Instance-Id": worker.name}, b"")
                    return
                if self.headers.get("X-Expect-Instance",
                                    worker.name) != worker.name:
                    self.answer(421, request, {"X-Not-Executed": "1"}, b"")
                    return
                if not request:
                    self.answer(400, request, {"X-Not-Executed": "1"}, b"")
                    return
                with worker.slots:
                    worker.note("runs", request)
                    if body.startswith(b"crash"):
                        os._exit(1)
                    time.sleep(0.06)
                    self.answer(200, request, {
                        "X-Server-Signature": worker.name + "." + request},
                        b"answer to " + request.encode())

            def answer(self, status, request, headers, body):
                self.send_response_only(status)
                if request:
                    self.send_header("X-Request-Id", request)
                for key, value in headers.items():
                    self.send_header(key, value)
                if worker.state != "ready":
                    self.send_header("Connection", "close")
                    self.close_connection = True
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_any

        return Handler

    def run(self):
        ip, port = self.address.split(":")
        server = Server((ip, int(port)), self.handler())
        signal.signal(signal.SIGUSR1, self.drain)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.register, daemon=True).start()
        while True:
            signal.pause()


def main():
    name, service, address, store, log = sys.argv[1:6]
    born = int(sys.argv[7]) if len(sys.argv) > 6 else int(time.time() * 1000)
    Worker(name, service, address, store, log, born).run()


if __name__ == "__main__":
    main()
