"""Servers and ports of this process on loopback addresses."""

import socket
import threading
from http.server import ThreadingHTTPServer


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, *_):
        pass  # The peer closed its connection, or was killed.


def serve(handler):
    """Returns the server, which runs on a thread of its own, and its address.
    """
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, "127.0.0.1:%d" % server.server_address[1]


def free_ports(count):
    """Ports that were free at the time of the call."""
    held = [socket.socket() for _ in range(count)]
    for it in held:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in held]
    for it in held:
        it.close()
    return ports
