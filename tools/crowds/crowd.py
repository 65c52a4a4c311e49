"""Connections of callers that don't behave, driven by one thread.

    crowd = Crowd(address, count, plan, refill=True)
    crowd.start()
    crowd.wait_settled()    # each connection sent all it may, or was closed
    crowd.end()
"""

import selectors
import socket
import threading
import time

# The segment size of an Ethernet link. With that of the loopback device the
# kernel holds a megabyte of each answer that isn't read.
SEGMENT = 1460


LISTENING = "0A"


def unread_bytes(port):
    """Bytes that wait in the kernel for the process that listens there."""
    out = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        for line in list(file)[1:]:
            fields = line.split()
            # Of a listening socket it is the number of connections.
            if (fields[3] != LISTENING
                    and int(fields[1].split(":")[1], 16) == port):
                out += int(fields[4].split(":")[1], 16)
    return out


class Plan:
    """What each connection sends: `begin`, then `repeated` over and over until
    `most` bytes are sent. It never closes."""

    def __init__(self, begin=b"", repeated=b"", most=0, reads=True):
        self.begin, self.repeated, self.most = begin, repeated, most
        self.reads = reads
        self.piece = repeated * max(1, 16384 // max(1, len(repeated)))

    def next_bytes(self, sent):
        """What follows `sent` bytes; empty if that is all."""
        if sent < len(self.begin):
            return self.begin[sent:]
        if self.repeated and sent < self.most:
            at = (sent - len(self.begin)) % len(self.repeated)
            return self.piece[at:][:self.most - sent]
        return b""


class Member:
    def __init__(self):
        self.socket, self.sent, self.got = None, 0, b""


class Crowd:
    def __init__(self, address, count, plan, refill=False, most_connects=50000):
        self.address, self.plan, self.refill = address, plan, refill
        self.members = [Member() for _ in range(count)]
        self.connects_left = most_connects
        self.selector = selectors.DefaultSelector()
        self.stop, self.settled = threading.Event(), threading.Event()
        self.closed, self.statuses = 0, []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()

    def connect(self, it):
        if self.connects_left == 0:
            return
        self.connects_left -= 1
        it.socket, it.sent, it.got = socket.socket(), 0, b""
        it.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        it.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.plan.reads:
            it.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        it.socket.setblocking(False)
        it.socket.connect_ex(self.address)
        self.selector.register(it.socket, self.events(it), it)

    def events(self, it):
        out = selectors.EVENT_READ if self.plan.reads else 0
        return out | (selectors.EVENT_WRITE if self.plan.next_bytes(it.sent)
                      else 0)

    def drop(self, it):
        if it.socket in self.selector.get_map():
            self.selector.unregister(it.socket)
        it.socket.close()
        it.socket = None
        self.closed += 1
        if it.got:
            self.statuses.append(int(it.got.split()[1]))

    def read_rest(self, it):
        """What arrived before the connection was reset can still be read."""
        try:
            it.got = (it.got + it.socket.recv(64))[:64]
        except OSError:
            pass

    def serve(self, it, events):
        if events & selectors.EVENT_WRITE:
            it.sent += it.socket.send(self.plan.next_bytes(it.sent))
        if events & selectors.EVENT_READ:
            got = it.socket.recv(65536)
            it.got = (it.got + got)[:64]
            if not got:
                self.drop(it)
                return
        wanted = self.events(it)
        if wanted:
            self.selector.modify(it.socket, wanted, it)
        else:
            self.selector.unregister(it.socket)

    def run(self):
        while not self.stop.is_set():
            for it in self.members:
                if it.socket is None and (self.refill or it.sent == 0):
                    self.connect(it)
            for key, events in self.selector.select(0.05):
                it = key.data
                try:
                    self.serve(it, events)
                except BlockingIOError:
                    pass
                except OSError:
                    self.read_rest(it)
                    self.drop(it)
            if all(self.is_done(it) for it in self.members):
                self.settled.set()

    def is_done(self, it):
        if it.socket is None:
            return it.sent > 0
        return not self.plan.next_bytes(it.sent)

    def wait_settled(self, stalled_for=3.0, look=lambda: None):
        """Also returns once no connection has sent or closed anything for a
        while, since the node reads no more. A crowd that connects again never
        settles, so the number of looks is bounded."""
        last, since = None, time.monotonic()
        for _ in range(100 if self.refill else 1000):
            is_settled = self.settled.wait(0.1)
            look()
            unread = unread_bytes(self.address[1])
            if is_settled and unread == 0:
                return
            now = sum(it.sent for it in self.members), self.closed, unread
            if now != last:
                last, since = now, time.monotonic()
            elif time.monotonic() - since > stalled_for:
                return

    def end(self):
        self.stop.set()
        self.thread.join()
        for it in self.members:
            if it.socket is not None:
                it.socket.close()
        self.selector.close()
