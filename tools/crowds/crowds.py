#!/usr/bin/env python3
"""Clients that don't behave, against one real node on loopback.

    tools/crowds/crowds.py --binary build/fennelladder NAME

Each crowd of CROWDS is a test of its own, with limits lowered in the node's
settings and configuration. It checks what doesn't depend on the machine's
speed: the process lives, its peak memory stays under the settings' memoryMb,
its sockets under maxFds less the 200 that are reserved for files, and an
ordinary request is answered while the crowd is there and after it has left.

Exit status 0 when all held, 1 with the findings otherwise.
"""

import argparse
import signal
import sys
import time

from crowd import Crowd, Plan
from fleet import BODY_LIMIT, HOST, Rig

MEMORY_MB = 48
DESCRIPTORS = 600
RESERVED_DESCRIPTORS = 200
# Far more than a node may hold of one connection.
ENDLESS = 4194304
# Ordinary requests while the crowd is there, on a new connection each. One may
# wait long for its answer, but isn't to be turned away.
TRIES = 6
REQUEST_LINE = b"POST /once/x HTTP/1.1\r\n"
HEAD = (REQUEST_LINE + b"Host: " + HOST.encode() +
        b"\r\nX-Request-Id: c1\r\n")
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Padded to a multiple of eight, as the fields that follow: a read of the node
# then ends with a whole field.
OPEN_HEAD = HEAD + b"X-Pad: " + b"x" * (-(len(HEAD) + 9) % 8) + b"\r\n"
LARGE_CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
SMALL_CHUNK = b"20\r\n" + b"x" * 0x20 + b"\r\n"


def unfinished(chunk, size):
    """A chunked body of all that is allowed, one chunk short."""
    return Plan(CHUNKED, chunk, len(CHUNKED) +
                len(chunk) * (BODY_LIMIT // size - 1))


def announced(length, sent):
    begin = HEAD + b"Content-Length: %d\r\n\r\n" % length
    return Plan(begin, b"x" * 16384, len(begin) + sent)


def endless(begin, repeated):
    return Plan(begin, repeated, ENDLESS)


def allowed_sockets(rig):
    return rig.settings["descriptors"] - RESERVED_DESCRIPTORS


def rig_is_within(rig):
    return not rig.lives() or rig.sockets() <= allowed_sockets(rig)


class Run:
    def __init__(self, rig):
        self.rig, self.found = rig, []
        self.most_sockets = 0

    def note(self, text):
        self.found.append(text)

    def look(self):
        if self.rig.lives():
            self.most_sockets = max(self.most_sockets, self.rig.sockets())

    def check(self):
        """What holds after every crowd."""
        rig = self.rig
        if not rig.lives():
            self.note("the process ended")
            return
        if not rig.answers():
            self.note("no ordinary request is answered afterwards")
        self.check_memory()
        allowed = allowed_sockets(rig)
        if self.most_sockets > allowed:
            self.note(f"{self.most_sockets} sockets, {allowed} allowed")

    def check_memory(self):
        peak, limit = (self.rig.peak_memory(),
                       self.rig.settings["memory_mb"] * 1_000_000)
        print(f"peak memory {peak / 1e6:.1f} MB, most sockets "
              f"{self.most_sockets}")
        if peak > limit:
            self.note(f"peak memory {peak / 1e6:.1f} MB, "
                      f"{limit / 1e6:.0f} MB allowed")

    def play(self, count, plan, port="front", refill=False, meanwhile=None):
        crowd = Crowd(("127.0.0.1", self.rig.ports[port]), count, plan,
                      refill)
        crowd.start()
        try:
            crowd.wait_settled(look=self.look)
            if meanwhile is not None:
                meanwhile(crowd)
            elif self.rig.lives() and not self.rig.answers(tries=TRIES):
                self.note("no ordinary request is answered meanwhile")
            self.look()
        finally:
            crowd.end()
        return crowd


def simple(count, plan, **more):
    return lambda run: run.play(count, plan, **more)


def far_over(plan):
    """A refusal reaches callers that write on, and says 413."""
    def play(run):
        crowd = run.play(32, plan)
        said = set(crowd.statuses)
        if said != {413}:
            run.note(f"callers read {sorted(said)} in place of 413")
    return play


def listeners(count, plan):
    def play(run):
        for port in ("entry", "ready", "metrics", "internal"):
            run.play(count, plan, port)
            run.check_memory()
    return play


def ends_in_order(run):
    def meanwhile(_):
        run.rig.process.send_signal(signal.SIGTERM)
        code = run.rig.process.wait(60)
        if code != 0:
            run.note(f"the process ended with {code}")
    run.check_memory()
    run.play(100, unfinished(LARGE_CHUNK, 0x4000), refill=True,
             meanwhile=meanwhile)
    run.check = lambda: None


def lowered_limits(run):
    run.rig.reload(memory_mb=MEMORY_MB, descriptors=DESCRIPTORS)
    run.play(160, unfinished(LARGE_CHUNK, 0x4000))


def lowered_under_load(run):
    """The limits fall while the crowd is there."""
    def meanwhile(_):
        run.rig.reload(descriptors=DESCRIPTORS)
        if run.rig.lives() and not run.rig.answers(tries=TRIES):
            run.note("no ordinary request is answered meanwhile")
        run.most_sockets = 0
        # The node closes what is over its limits in its own time.
        for _ in range(100):
            if rig_is_within(run.rig):
                break
            time.sleep(0.3)
        run.look()
    run.play(700, announced(BODY_LIMIT, 8), meanwhile=meanwhile)


def stops_reading(run):
    """Answers are large, and nobody reads them."""
    plan = Plan(HEAD.replace(b"/once/x", b"/once/large") +
                b"Content-Length: 0\r\n\r\n", reads=False)
    run.play(90, plan)


UNROUTED = b"GET /none/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\n\r\n"

# By name: the settings and what is played.
CROWDS = {
    "endless_trailer": simple(16, endless(CHUNKED + b"0\r\n", b"t" * 4096)),
    "endless_trailers": simple(
        16, endless(CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n")),
    "small_trailers": simple(16, endless(CHUNKED + b"0\r\n", b"a:\r\n")),
    "endless_chunk_extension": simple(
        16, endless(CHUNKED + b"5;a=", b"e" * 4096)),
    "endless_chunk_size": simple(16, endless(CHUNKED, b"0" * 4096)),
    "chunks_of_extensions": simple(
        16, endless(CHUNKED, b"1;a=" + b"e" * 8000 + b"\r\nx\r\n")),
    "endless_head": simple(16, endless(OPEN_HEAD, b"abcd:e\r\n")),
    "unfinished_large_chunks": simple(160, unfinished(LARGE_CHUNK, 0x4000)),
    "unfinished_small_chunks": simple(160, unfinished(SMALL_CHUNK, 0x20)),
    "unfinished_announced": simple(
        160, announced(BODY_LIMIT, BODY_LIMIT - 1)),
    "many_unfinished": simple(
        450, unfinished(SMALL_CHUNK, BODY_LIMIT // 3), refill=True),
    "many_heads": simple(450, Plan(HEAD), refill=True),
    "many_silent": simple(450, Plan(), refill=True),
    "announced_far_over": far_over(announced(10**12, ENDLESS)),
    "sent_far_over": far_over(endless(CHUNKED, LARGE_CHUNK)),
    "unread_answers": stops_reading,
    "unread_refusals": simple(
        450, Plan(b"", UNROUTED, 100 * ENDLESS, reads=False), refill=True),
    "listeners_many": listeners(600, Plan()),
    "listeners_endless": listeners(
        16, endless(CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n")),
    "shutdown": ends_in_order,
    "lowered_limits": lowered_limits,
    "lowered_under_load": lowered_under_load,
}
# Limits at the start, where they are others.
STARTS_WITH = {"lowered_limits": (400, 4000),
               "lowered_under_load": (MEMORY_MB, 4000)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=CROWDS)
    parser.add_argument("--binary", default="build/fennelladder")
    args = parser.parse_args()
    memory, descriptors = STARTS_WITH.get(args.name, (MEMORY_MB, DESCRIPTORS))
    with Rig(args.binary, memory, descriptors) as rig:
        run = Run(rig)
        # Allowed to be slow: the node has to learn its configuration.
        if not rig.answers():
            run.note("no request is answered before the crowd")
        else:
            CROWDS[args.name](run)
            run.check()
        if run.found:
            print(rig.read_log()[-2000:].decode(errors="replace"))
    for it in run.found:
        print(args.name + ": " + it)
    return 1 if run.found else 0


if __name__ == "__main__":
    sys.exit(main())
