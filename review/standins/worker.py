"""Workers: plain services and model engines, as PROTOCOL.md describes them.

A worker registers itself in the store under its id, and writes again about
every heartbeat. It echoes X-Request-Id, signs what it ran, and answers 421 to
a request that expects another instance.
"""

import itertools
import socket
import threading
import time
import uuid

HEARTBEAT_S = 1.2


class Request:
    def __init__(self, method, path, fields, body):
        self.method = method
        self.path = path
        self.fields = fields  # [(name, value)]
        self.body = body

    def __getitem__(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return ""


class Reader:
    """Reads lines and bodies from a socket."""

    def __init__(self, it):
        self.it = it
        self.buf = b""

    def more(self):
        got = self.it.recv(65536)
        self.buf += got
        return bool(got)

    def readline(self):
        while b"\n" not in self.buf:
            if not self.more():
                out, self.buf = self.buf, b""
                return out
        end = self.buf.index(b"\n") + 1
        out, self.buf = self.buf[:end], self.buf[end:]
        return out

    def read(self, size):
        while len(self.buf) < size:
            if not self.more():
                break
        out, self.buf = self.buf[:size], self.buf[size:]
        return out


def read_request(file):
    line = file.readline()
    if not line.endswith(b"\r\n"):
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    fields = []
    while True:
        line = file.readline()
        if line == b"\r\n":
            break
        if not line:
            return None
        name, value = line.decode("latin-1").rstrip("\r\n").split(":", 1)
        fields.append((name, value.strip()))
    out = Request(method, path, fields, b"")
    length = int(out["Content-Length"] or 0)
    out.body = file.read(length)
    return out if len(out.body) == length else None


class Worker:
    """`run(worker, request, send)` answers a request; by default `plain`."""

    def __init__(self, store, service, ip, zone="z1", slots=64, run=None, engine=False,
                 born=None, name=None,
                 version="v1"):
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.engine = engine
        self.run = run or plain
        self.ip = ip
        self.port = 0
        self.alive = False
        self.sequence = itertools.count(1)
        self.connections = set()
        self.lock = threading.Lock()
        self.runs = []  # (time, request id, tenant, path)
        self.state = "ready"
        self.version = version
        self.dark = False
        self.start(same_id=name, born=born)

    def start(self, same_id=None, born=None):
        """A new incarnation, at the same address. `born`: Unix milliseconds of
        the start, if the worker says so."""
        self.id = same_id or "i-" + uuid.uuid4().hex[:8]
        self.born = born
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, self.port))
        self.port = self.listener.getsockname()[1]
        self.listener.listen(256)
        self.alive = True
        life = (self.id, self.born)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()
        threading.Thread(target=self.beat, args=(life,), daemon=True).start()

    def crash(self):
        """Ends at once: all connections are reset, the address refuses."""
        with self.lock:
            self.alive = False
            self.id = ""
            open_now, self.connections = self.connections, set()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for it in open_now:
            reset(it)

    def go_dark(self):
        """From now on nothing is answered, and new connections hang."""
        self.dark = True
        self.listener.listen(0)
        self.fillers = []
        for _ in range(4):
            it = socket.socket()
            it.setblocking(False)
            it.connect_ex((self.ip, self.port))
            self.fillers.append(it)

    def come_back(self):
        for it in self.fillers:
            it.close()
        self.listener.listen(256)
        self.dark = False

    def leave(self):
        """Reports that it leaves, and goes on serving."""
        self.state = "draining"
        self.store.put("servers", self.id, self.entry())

    def entry(self):
        out = {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "coldRemainingMs": 0, "sequence": next(self.sequence),
        }
        if self.born is not None:
            out["born"] = self.born
        if self.engine:
            out["stage"] = "prefill_decode"
            out["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return out

    def beat(self, life):
        while self.alive and (self.id, self.born) == life:
            if not self.dark:
                self.store.put("servers", life[0], self.entry())
            time.sleep(HEARTBEAT_S)
        time.sleep(3 * HEARTBEAT_S)
        if self.id != life[0]:
            self.store.remove("servers", life[0])

    def accept(self, listener):
        while True:
            try:
                it, _ = listener.accept()
            except OSError:
                return
            while self.dark:
                time.sleep(0.01)
            it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(it)
            threading.Thread(target=self.serve, args=(it,), daemon=True).start()

    def serve(self, it):
        try:
            file = Reader(it)
            while True:
                request = read_request(file)
                if request is None:
                    break
                if not self.answer(it, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(it)
            try:
                it.close()
            except OSError:
                pass

    def answer(self, it, request):
        expected = request["X-Expect-Instance"]
        if expected and expected != self.id:
            it.sendall(response(421, [("X-Not-Executed", "1"), ("X-Instance-Id", self.id),
                                      ("X-Request-Id", request["X-Request-Id"])], b""))
            return True
        if request.path == "/health":
            it.sendall(response(200, [("X-Instance-Id", self.id)], b""))
            return True
        return self.run(self, request, it)

    def note_run(self, request):
        with self.lock:
            self.runs.append((time.monotonic(), request["X-Request-Id"],
                              request["X-Tenant"], request.path))

    def signed(self, request):
        return [("X-Request-Id", request["X-Request-Id"]),
                ("X-Server-Signature", "s." + self.id + "." + request["X-Request-Id"])]


def response(status, fields, body, length=True):
    reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reason.get(status, "Status"))
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    if length:
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode("latin-1") + b"\r\n" + body


def reset(it):
    """Closes a connection with a reset."""
    try:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        it.shutdown(socket.SHUT_RD)  # Wakes the thread that reads.
        it.close()
    except OSError:
        pass


def plain(worker, request, it):
    worker.note_run(request)
    time.sleep(0.02)
    it.sendall(response(200, worker.signed(request), b"x" * 800))
    return True


def stream(events, stride=7, pause_s=0.02, first_s=0.05):
    """A model engine that streams `events` events."""

    def run(worker, request, it):
        time.sleep(first_s)
        worker.note_run(request)
        head = response(200, worker.signed(request) + [
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
            ("X-Weight-Versions", "1")], b"", length=False)
        it.sendall(head)
        first = int(request["Last-Event-Id"] or 0) + 1
        for i in range(first, events + 1):
            event = ("id: %d\ndata: %s\n\n" % (i, "t" * stride)).encode()
            it.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(pause_s)
        it.sendall(b"0\r\n\r\n")
        return True

    return run
