"""A sound stand-in for the platform's metadata store, over HTTP/1.1.

It keeps objects by kind and name under one revision counter, answers
conditional writes with 409 on a conflict, and watches from a revision. An
entry of kind `servers` expires after three heartbeat intervals without a write.
"""

import collections
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlparse

HEARTBEAT_S = 1.2


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass  # The peer closed its connection.


class Store:
    def __init__(self, port):
        self.lock = threading.Condition()
        self.objects = collections.defaultdict(dict)
        self.events = []  # (revision, kind, deleted, object)
        self.revision = 1
        self.heard = {}
        self.listeners = []  # Called with (kind, name, spec or None).
        self.server = Server(("127.0.0.1", port), self.handler())
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, kind, name, spec):
        """Writes unconditionally, as the operator does."""
        with self.lock:
            return self.change(kind, name, spec)

    def change(self, kind, name, spec):
        present = self.objects[kind].get(name)
        if kind == "servers":
            self.heard[name] = time.monotonic()
        if present and present["spec"] == spec:
            return present
        self.revision += 1
        stored = {"metadata": {"name": name, "revision": self.revision},
                  "spec": spec}
        self.objects[kind][name] = stored
        self.tell(kind, False, stored)
        return stored

    def remove(self, kind, name):
        gone = self.objects[kind].pop(name, None)
        if gone is None:
            return
        self.revision += 1
        self.tell(kind, True, {"metadata": {"name": name,
                                            "revision": self.revision},
                               "spec": gone["spec"]})

    def tell(self, kind, deleted, stored):
        self.events.append((self.revision, kind, deleted, stored))
        self.lock.notify_all()
        for it in self.listeners:
            it(kind, stored["metadata"]["name"],
               None if deleted else stored["spec"])

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.lock:
                now = time.monotonic()
                for name in list(self.objects["servers"]):
                    if now - self.heard[name] > 3 * HEARTBEAT_S:
                        self.remove("servers", name)

    def read(self, kind, name, query):
        if name:
            found = self.objects[kind].get(name)
            return (200, found) if found else (404, {})
        if "watch" not in query:
            items = sorted(self.objects[kind].values(),
                           key=lambda it: it["metadata"]["name"])
            return 200, {"items": items, "morePages": False,
                         "asOf": self.revision}
        since = int(query["watch"][0])
        end = time.monotonic() + int(query["waitMs"][0]) / 1000
        while True:
            news = [{"object": stored, "deleted": deleted}
                    for revision, its_kind, deleted, stored in self.events
                    if revision > since and its_kind == kind]
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, {"events": news, "asOf": self.revision}
            self.lock.wait(left)

    def write(self, method, kind, name, query, body):
        described = body["metadata"] if body else {}
        name = name or described["name"]
        present = self.objects[kind].get(name)
        wanted = described.get("revision", query.get("revision", [None])[0])
        if method == "POST" and present:
            return 409, present
        if method != "POST" and not present:
            return 404, {}
        if (wanted is not None and present
                and int(wanted) != present["metadata"]["revision"]):
            return 409, present
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.change(kind, name, body["spec"])

    def handler(self):
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_any(self):
                url = urlparse(self.path)
                parts = [unquote(it) for it in url.path.split("/")[3:]]
                kind, name = (parts + [""])[:2]
                query = parse_qs(url.query)
                size = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(size)) if size else None
                with store.lock:
                    if self.command == "GET":
                        got = store.read(kind, name, query)
                    else:
                        got = store.write(self.command, kind, name, query,
                                          body)
                data = json.dumps(got[1]).encode()
                self.send_response_only(got[0])
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = do_DELETE = do_any

        return Handler
