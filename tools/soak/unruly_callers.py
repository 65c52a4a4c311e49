"""Callers that don't behave, beside the others and the faults: they stop short
of the end of their requests, or send without end. Checks that nodes stay
within the memory of their settings; what else holds, the soak checks.
"""

import re

import crowds
from crowd import Crowd, Plan

# That of settings that state none.
MEMORY_BYTES = 128_000_000
CONNECTIONS = 40
PLANS = [
    crowds.endless(crowds.CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n"),
    crowds.endless(crowds.CHUNKED + b"5;a=", b"e" * 4096),
    crowds.endless(crowds.CHUNKED, crowds.LARGE_CHUNK),
    crowds.unfinished(crowds.SMALL_CHUNK, 0x20),
    crowds.announced(1_000_000, 900_000),
    crowds.announced(10 ** 12, crowds.ENDLESS),
    Plan(crowds.HEAD),
    Plan(),
]


def peak_memory(process):
    try:
        with open(f"/proc/{process}/status", encoding="utf-8") as file:
            found = re.search(r"VmHWM:\s*(\d+) kB", file.read())
    except OSError:
        return 0
    return int(found.group(1)) * 1024 if found else 0


class UnrulyCallers:
    def __init__(self, nodes, note):
        self.nodes, self.note = nodes, note
        self.most = 0

    def run(self, plan, stop):
        while not stop.wait(plan.uniform(0.2, 1)):
            node = plan.choice(self.nodes)
            crowd = Crowd((node.ip, node.front), CONNECTIONS,
                          plan.choice(PLANS))
            crowd.start()
            stop.wait(plan.uniform(0.5, 3))
            self.look()
            crowd.end()

    def look(self):
        for node in self.nodes:
            if node.process is None:
                continue
            held = peak_memory(node.process.pid)
            self.most = max(self.most, held)
            if held > MEMORY_BYTES:
                self.note(f"n{node.number} held {held / 1e6:.0f} MB")

    @property
    def summary(self):
        return f"at most {self.most / 1e6:.0f} MB in a process"
