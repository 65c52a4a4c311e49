"""One node as a process of its own on a loopback address, with a store and a
target in this process.

    with Rig(binary, memory_mb=48, descriptors=600) as rig:
        rig.ask("/once/x")     # the status of one ordinary request, or None
        rig.peak_memory()      # bytes

Ends only the process that it started.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlparse

from loopback import free_ports, serve

HOST = "h.example"
BODY_LIMIT = 262144
HEADER_LIMIT = 16384
LARGE_ANSWER = 400000
GRACE_S = 8

SETTINGS = """\
nodeName=n0
zone=z
region=r
zones.z=r
ip={ip}
listen.front={ip}:{front}
listen.readyAddress={ip}:{ready}
listen.directory={ip}:{entry}
internalPortRange={internal},{internal}
seedNodes={ip}:{internal}
platform.address={store}
limits.memoryMb={memory_mb}
limits.maxFds={descriptors}
limits.cpuShare=1
limits.linkMbps=1000.0
bounds.graceS={grace}
"""


def configuration():
    return {"version": 1,
            "limits": {"maxHeaderBytes": HEADER_LIMIT,
                       "maxBodyBytes": BODY_LIMIT,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "routes": [{"name": "once", "host": HOST, "pathPrefix": "/once/",
                        "kind": "non_idempotent", "timeoutMs": 20000,
                        "targetLatencyMs": 2000, "priority": 1,
                        "service": "s", "public": True, "sticky": False,
                        "canResume": False, "maxAttempts": 1}],
            "services": [{"name": "s", "healthPath": "/health",
                          "maxConnections": 2000}]}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, headers, body):
        self.send_response_only(status)
        for key, value in headers.items():
            self.send_header(key, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def store_handler(objects):
    """`objects`: specs by kind and name. What nodes write is accepted."""
    class Store(Handler):
        def do_any(self):
            url = urlparse(self.path)
            kind, name = (url.path.split("/")[3:] + [""])[:2]
            sent = self.rfile.read(
                int(self.headers.get("Content-Length") or 0))
            query = parse_qs(url.query)
            found = [{"metadata": {"name": it, "revision": 5}, "spec": spec}
                     for it, spec in objects.get(kind, {}).items()]
            if self.command != "GET":
                stored = json.loads(sent) if sent else {"metadata": {}}
                stored["metadata"]["revision"] = 5
                got = 200, stored
            elif name:
                named = [it for it in found
                         if it["metadata"]["name"] == name]
                got = (200, named[0]) if named else (404, {})
            elif "watch" in query:
                time.sleep(min(int(query["waitMs"][0]) / 1000, 5))
                got = 200, {"events": [], "asOf": 10}
            else:
                got = 200, {"items": found, "morePages": False, "asOf": 10}
            self.answer(got[0], {}, json.dumps(got[1]).encode())

        do_GET = do_PUT = do_POST = do_DELETE = do_any

    return Store


class Target(Handler):
    """Echoes the length of a body; /once/large has a large answer."""

    def read_body(self):
        if "chunked" not in (self.headers.get("Transfer-Encoding") or ""):
            return self.rfile.read(
                int(self.headers.get("Content-Length") or 0))
        raise ConnectionError("nodes send a length")

    def do_any(self):
        size = len(self.read_body())
        body = (b"x" * LARGE_ANSWER if self.path.endswith("/large")
                else b"%d" % size)
        self.answer(200, {"X-Request-Id": self.headers["X-Request-Id"],
                          "X-Server-Signature": "s"}, body)

    do_GET = do_POST = do_any


class Rig:
    def __init__(self, binary, memory_mb, descriptors):
        self.binary = binary
        self.settings = {"memory_mb": memory_mb, "descriptors": descriptors}

    def __enter__(self):
        self.folder = tempfile.mkdtemp(prefix="crowd-")
        objects = {"config": {"main": configuration()}, "servers": {}}
        self.store, store = serve(store_handler(objects))
        self.target, target = serve(Target)
        objects["servers"]["i-1"] = {
            "service": "s", "address": target, "zone": "z", "slots": 64,
            "state": "ready", "version": "v1", "coldRemainingMs": 0,
            "sequence": 1, "born": int(time.time() * 1000)}
        ports = dict(zip(("front", "ready", "entry", "internal", "metrics"),
                         free_ports(5)))
        self.ports = ports
        self.settings.update(ports, ip="127.0.0.1", store=store,
                             grace=GRACE_S)
        self.path = os.path.join(self.folder, "n0.conf")
        self.write_settings()
        self.log_path = os.path.join(self.folder, "n0.log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                [self.binary, "front", "--settings-file", self.path,
                 "--metrics-port", str(ports["metrics"])],
                stdout=log, stderr=log)
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.store.shutdown()
        self.target.shutdown()
        shutil.rmtree(self.folder)

    def write_settings(self, **changed):
        self.settings.update(changed)
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(**self.settings))

    def reload(self, **changed):
        """Changes the settings and waits until the node has read them."""
        self.write_settings(**changed)
        self.process.send_signal(signal.SIGHUP)
        while b'"settings_reloaded"' not in self.read_log():
            if self.process.poll() is not None:
                return
            time.sleep(0.05)

    def read_log(self):
        with open(self.log_path, "rb") as log:
            return log.read()

    def lives(self):
        return self.process.poll() is None

    def status_field(self, name):
        with open(f"/proc/{self.process.pid}/status",
                  encoding="utf-8") as file:
            return int(re.search(name + r":\s*(\d+) kB",
                                 file.read()).group(1)) * 1024

    def peak_memory(self):
        return self.status_field("VmHWM")

    def sockets(self):
        folder, out = f"/proc/{self.process.pid}/fd", 0
        for it in os.listdir(folder):
            try:
                out += os.readlink(os.path.join(folder, it)).startswith(
                    "socket:")
            except OSError:
                pass  # Closed meanwhile.
        return out

    def ask(self, path, body=b"", port="front", limit_s=10):
        """The status of one request on a connection of its own, else None."""
        method = "POST" if body else "GET"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: r{time.monotonic_ns()}\r\n"
                f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n")
        try:
            with socket.create_connection(
                    ("127.0.0.1", self.ports[port]), timeout=limit_s) as it:
                it.sendall(head.encode() + body)
                got = b""
                while b"\r\n" not in got:
                    part = it.recv(4096)
                    if not part:
                        return None
                    got += part
            return int(got.split()[1])
        except OSError:
            return None

    def answers(self, path="/once/x", tries=60, body=b"", port="front"):
        """Whether one of a bounded number of tries is answered with 200."""
        for _ in range(tries):
            if not self.lives():
                return False
            if self.ask(path, body, port) == 200:
                return True
            time.sleep(0.5)
        return False
