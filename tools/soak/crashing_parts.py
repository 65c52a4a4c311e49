"""Storms of requests that share a part of their prompts, on which the soak's
targets crash.

    parts = CrashingParts(make_handler, announce, senders, note)
    parts.start()                    # its targets
    parts.storm(call, part)          # sends requests with the part for seconds
    parts.check()                    # at the end

A target that gets a request with the part ends 50 ms later: it refuses
connections, its open ones break off, and it starts again after a second at
another address. Judged is, for each part: of the processes that were in touch
(started, and not stood still, for 3 s), three requests at most reach targets
later than 3 s after the fifth crash. Requests with the same first part and
without the crashing one are to be answered once the storms are over.
"""

import collections
import random
import socket
import threading
import time
from http.server import ThreadingHTTPServer

SERVICE, PATH, FIRST = "p", "/part/x", "a1"
TARGETS = 6
CRASH_S, RESTART_S = 0.05, 1
CONTACT_S, KNOWN_CRASHES, LATER_ARRIVALS = 3, 5, 3
STORM_S, STORM_GAP_S = 4, 0.06


class Target:
    """One target, over its processes."""

    def __init__(self, name, make_handler, announce):
        self.name, self.make_handler = name, make_handler
        self.announce = announce
        self.lock = threading.Lock()
        self.server, self.sockets = None, set()

    def start(self):
        target = self

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # It crashed, or the node was killed.

            def process_request(self, request, client_address):
                with target.lock:
                    target.sockets.add(request)
                super().process_request(request, client_address)

        server = Server(("127.0.0.1", 0), self.make_handler(self))
        with self.lock:
            self.server, self.sockets = server, set()
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.announce(self.name, "127.0.0.1:%d" % server.server_address[1])

    def crash(self):
        """Returns whether it was up."""
        with self.lock:
            server, self.server = self.server, None
            open_sockets, self.sockets = self.sockets, set()
        if server is None:
            return False
        server.shutdown()
        server.server_close()
        for it in open_sockets:
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(RESTART_S, self.start).start()
        return True


class CrashingParts:
    """The targets, and what reached them. Thread safe."""

    def __init__(self, make_handler, announce, senders, started, note):
        self.senders, self.started, self.note = senders, started, note
        self.lock = threading.Lock()
        self.crashing = set()  # Parts.
        self.crashes = collections.defaultdict(list)  # Times, by part.
        self.later = collections.Counter()  # Arrivals in touch, by part.
        self.targets = [Target(f"p-{i}", lambda it: make_handler(it, self),
                               announce) for i in range(TARGETS)]

    def start(self):
        for it in self.targets:
            it.start()

    def is_in_touch(self, process):
        since = max(self.started(process), self.senders.stood_still[process])
        return time.monotonic() - since > CONTACT_S

    def is_late(self, part):
        """Whether the part was known long ago."""
        with self.lock:
            times = self.crashes[part]
            return (len(times) >= KNOWN_CRASHES and time.monotonic()
                    - times[KNOWN_CRASHES - 1] > CONTACT_S)

    def arrived(self, target, prompt, find_sender):
        """Returns whether the request crashes the target. `find_sender` costs
        time, and is called only for a request that may be one too many."""
        parts = [it.split(":")[0] for it in (prompt or "").split(",")]
        bad = next((it for it in parts if it in self.crashing), None)
        if bad is None:
            return False
        if self.is_late(bad):
            process = find_sender()
            if process and self.is_in_touch(process):
                with self.lock:
                    self.later[bad] += 1
        time.sleep(CRASH_S)
        if target.crash():
            with self.lock:
                self.crashes[bad].append(time.monotonic())
        return True

    def prompt(self, part):
        own = "%x" % random.getrandbits(40)
        return f"{FIRST}:100,{part}:50,{own}:10"

    def storm(self, call, part, stop):
        """Sends requests with the part, and sound ones beside them."""
        self.crashing.add(part)
        end = time.monotonic() + STORM_S
        while time.monotonic() < end and not stop.wait(STORM_GAP_S):
            for it in (part, "%x" % random.getrandbits(40)):
                threading.Thread(target=call, args=[self.prompt(it)]).start()

    def check(self):
        for part, count in self.later.items():
            if count > LATER_ARRIVALS:
                self.note(f"part {part}: {count} requests reached targets "
                          f"later than {CONTACT_S} s after "
                          f"{KNOWN_CRASHES} crashes")

    @property
    def summary(self):
        return ", ".join(f"{len(it)} crashes by part {part}"
                         for part, it in self.crashes.items()) or "no crashes"
