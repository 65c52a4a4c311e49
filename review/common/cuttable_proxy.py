"""A proxy before a worker whose link can be cut.

While the link is cut, nothing passes. Bytes that were sent on a connection of
before wait in the kernel, unread, as they would in their sender's queue, and
pass when the sender would send them again: at the first of RETRANSMISSIONS_S
after they came that lies after the end of the cut. A sender that resets its
connection takes them back. Connections that are opened during the cut lead
nowhere.
"""

import select
import socket
import threading
import time

# Of TCP: the time-out begins with 0.2 s and doubles.
RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)


class Proxy:
    def __init__(self, target):
        self.target = target
        self.cut_from, self.cut_until = 0.0, 0.0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, length):
        self.cut_from = time.monotonic()
        self.cut_until = self.cut_from + length

    def is_cut(self, at):
        return self.cut_from <= at < self.cut_until

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.is_cut(time.monotonic()):
                threading.Thread(target=self.drop, args=(near,),
                                 daemon=True).start()
                continue
            far = socket.create_connection(self.target)
            for it in (near, far):
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.pump, args=(source, sink),
                                 daemon=True).start()

    def drop(self, near):
        time.sleep(max(self.cut_until - time.monotonic(), 0))
        near.close()

    def pump(self, source, sink):
        try:
            while True:
                select.select([source], [], [])
                self.hold(time.monotonic())
                # After a reset, Linux would still hand out what it has.
                if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise ConnectionResetError
                got = source.recv(65536)
                if not got:
                    break
                sink.sendall(got)
            sink.shutdown(socket.SHUT_WR)
        except (OSError, ValueError):
            # Reset: the other side is reset too, and what waited is gone.
            for it in (source, sink):
                it.close()

    def hold(self, came):
        """Waits until bytes that came at this time pass."""
        if not self.is_cut(came):
            return
        for it in RETRANSMISSIONS_S:
            if came + it >= self.cut_until:
                time.sleep(max(came + it - time.monotonic(), 0))
                return
