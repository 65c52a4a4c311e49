"""The platform's metadata store, in memory, as PROTOCOL.md describes it.

Serves listings, watches, reads, creations, replacements and deletions over
HTTP/1.1. Calls carry JSON. A single revision counter covers all objects.
"""

import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HISTORY_S = 20
MAX_WAIT_S = 30


class Store:
    """Objects by kind and name. Thread safe."""

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (time, revision, kind, object, deleted)
        self.dropped = 0  # Changes up to this revision are forgotten.
        self.revision = 100
        self.down = False  # Answers 503 to all calls.
        self.stale_s = 0  # Age of what reads with `serializable` return.
        self.all_changes = []  # (time, kind, name, object or None, revision)

    def _note(self, kind, obj, deleted):
        now = time.monotonic()
        self.all_changes.append((now, kind, obj["metadata"]["name"],
                                 None if deleted else obj, self.revision))
        self.history.append((now, self.revision, kind, obj, deleted))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.dropped = self.history.pop(0)[1]
        self.changed.notify_all()

    def put(self, kind, name, spec):
        """Writes as the operator or a worker does: without a condition."""
        with self.changed:
            return self._write(kind, name, spec)

    def _write(self, kind, name, spec, finalizers=()):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["createRevision"] if known else self.revision
        obj = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRevision": created,
                "finalizers": list(finalizers),
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[(kind, name)] = obj
        self._note(kind, obj, False)
        return obj

    def remove(self, kind, name):
        with self.changed:
            obj = self.objects.pop((kind, name), None)
            if obj is None:
                return
            self.revision += 1
            gone = json.loads(json.dumps(obj))
            gone["metadata"]["revision"] = self.revision
            self._note(kind, gone, True)

    def listing(self, kind):
        with self.changed:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return {"items": items, "morePages": False, "asOf": self.revision}

    def stale_listing(self, kind):
        """The listing as it was `stale_s` ago."""
        until = time.monotonic() - self.stale_s
        items, as_of = {}, 1
        with self.changed:
            for at, k, name, obj, revision in self.all_changes:
                if at > until:
                    break
                as_of = revision
                if k == kind:
                    items[name] = obj
        found = [items[name] for name in sorted(items) if items[name] is not None]
        return {"items": found, "morePages": False, "asOf": as_of}

    def watch(self, kind, since, wait_s):
        """The changes after `since`; None if they are forgotten."""
        end = time.monotonic() + min(wait_s, MAX_WAIT_S)
        with self.changed:
            while True:
                if since < self.dropped or since > self.revision:
                    return None
                events = [
                    {"object": obj, "deleted": deleted}
                    for (_, at, k, obj, deleted) in self.history
                    if k == kind and at > since
                ]
                left = end - time.monotonic()
                if events or left <= 0 or self.down:
                    return {"events": events, "asOf": self.revision}
                self.changed.wait(left)


def handler_of(store):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def answer(self, status, body):
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def where(self):
            url = urllib.parse.urlsplit(self.path)
            query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
            parts = url.path.split("/")[3:]  # after /api/objects
            kind = urllib.parse.unquote(parts[0])
            name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
            return kind, name, query

        def do_GET(self):
            if store.down:
                return self.answer(503, {})
            kind, name, query = self.where()
            if name is not None:
                with store.changed:
                    obj = store.objects.get((kind, name))
                return self.answer(200 if obj else 404, obj or {})
            if "watch" in query:
                wait_s = int(query.get("waitMs", "0")) / 1000
                got = store.watch(kind, int(query["watch"]), wait_s)
                return self.answer(200 if got is not None else 410, got or {})
            if query.get("serializable") == "1" and store.stale_s > 0:
                return self.answer(200, store.stale_listing(kind))
            return self.answer(200, store.listing(kind))

        def body(self):
            return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

        def do_POST(self):
            sent = self.body()
            if store.down:
                return self.answer(503, {})
            kind, _, _ = self.where()
            name = sent["metadata"]["name"]
            with store.changed:
                known = store.objects.get((kind, name))
                if known is None:
                    known, status = store._write(kind, name, sent["spec"]), 200
                else:
                    status = 409
            return self.answer(status, known)

        def do_PUT(self):
            sent = self.body()
            if store.down:
                return self.answer(503, {})
            kind, name, query = self.where()
            wanted = sent["metadata"].get("revision", query.get("revision"))
            with store.changed:
                known = store.objects.get((kind, name))
                if known is None:
                    return self.answer(404, {})
                if wanted is not None and int(wanted) != known["metadata"]["revision"]:
                    return self.answer(409, known)
                out = store._write(kind, name, sent["spec"])
            return self.answer(200, out)

        def do_DELETE(self):
            if store.down:
                return self.answer(503, {})
            kind, name, _ = self.where()
            store.remove(kind, name)
            return self.answer(200, {})

    return Handler


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # A node that ends breaks its connections off.


def serve(store, ip):
    """Serves the store at a free port; returns its address."""
    server = QuietServer((ip, 0), handler_of(store))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return "%s:%d" % server.server_address[:2]
