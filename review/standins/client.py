"""A client of the system: one request at a time on a kept connection."""

import itertools
import socket

_ids = itertools.count(1)


def new_id():
    return "%016x" % (0xabc0000000000000 + next(_ids))


class Answer:
    def __init__(self, status, fields, body, whole):
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole

    def __getitem__(self, name):
        return self.fields.get(name.lower(), "")


class Client:
    def __init__(self, address, timeout_s=10.0):
        self.address = address
        self.timeout_s = timeout_s
        self.socket = None
        self.buf = b""

    def close(self):
        if self.socket is not None:
            self.socket.close()
        self.socket = None
        self.buf = b""

    def _more(self):
        got = self.socket.recv(65536)
        if not got:
            raise ConnectionError("closed")
        self.buf += got

    def _line(self):
        while b"\r\n" not in self.buf:
            self._more()
        line, self.buf = self.buf.split(b"\r\n", 1)
        return line.decode("latin-1")

    def _exactly(self, n):
        while len(self.buf) < n:
            self._more()
        out, self.buf = self.buf[:n], self.buf[n:]
        return out

    def send(self, method, path, fields, body=b""):
        if self.socket is None:
            self.socket = socket.create_connection(self.address, timeout=1)
            self.socket.settimeout(self.timeout_s)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        self.socket.sendall(head.encode("latin-1") + b"\r\n" + body)

    def read(self):
        """The answer; None if the connection ended without one."""
        try:
            status = int(self._line().split(" ")[1])
            fields = {}
            while True:
                line = self._line()
                if not line:
                    break
                name, value = line.split(":", 1)
                fields[name.lower()] = value.strip()
        except (OSError, IndexError, ValueError):
            self.close()
            return None
        body, whole = b"", True
        try:
            if fields.get("transfer-encoding", "") == "chunked":
                while True:
                    size = int(self._line(), 16)
                    body += self._exactly(size)
                    self._exactly(2)
                    if size == 0:
                        break
            else:
                body = self._exactly(int(fields.get("content-length", "0")))
        except (OSError, ValueError):
            whole = False
        if not whole or fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, fields, body, whole)

    def ask(self, method, path, fields, body=b""):
        try:
            self.send(method, path, fields, body)
        except OSError:
            self.close()
            return None
        return self.read()
