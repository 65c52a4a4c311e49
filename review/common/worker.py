#!/usr/bin/env python3
"""A stand-in for a worker of a plain service, as a process of its own.

It registers itself in the store and writes its entry every heartbeat. It
crashes on each request whose body begins with "crash". It appends one line to
LOG for each request that it runs.
"""

import argparse
import http.client
import json
import os
import threading
import time
from http.server import BaseHTTPRequestHandler

from store import HEARTBEAT_S, Server

SLOTS = 6


class Worker:
    def __init__(self, options):
        self.name, self.service = options.id, options.service
        self.address, self.store = options.address, options.store
        self.crash_after = options.crash_after_ms / 1000
        self.born = int(time.time() * 1000)
        self.log = os.open(options.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.sequence = 0
        self.slots = threading.Semaphore(SLOTS)

    def note(self, what, request):
        line = "%.6f %s %s %s\n" % (time.monotonic(), self.name, what, request)
        os.write(self.log, line.encode())

    def register(self):
        """Writes the entry every heartbeat."""
        while True:
            self.sequence += 1
            entry = {"service": self.service, "address": self.address,
                     "zone": "z", "version": "v1", "slots": SLOTS,
                     "state": "ready", "coldRemainingMs": 0,
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
            time.sleep(HEARTBEAT_S)

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
                    self.answer(200, request,
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
                        time.sleep(worker.crash_after)
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
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_any

        return Handler

    def run(self):
        ip, port = self.address.split(":")
        server = Server((ip, int(port)), self.handler())
        threading.Thread(target=self.register, daemon=True).start()
        server.serve_forever()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "service", "address", "store", "log"):
        parser.add_argument(name)
    parser.add_argument("--crash-after-ms", type=float, default=0)
    Worker(parser.parse_args()).run()


if __name__ == "__main__":
    main()
