"""What the soak's targets say of themselves, and whether nodes heed it.

    signals = TargetSignals(senders, note)
    signals.leave()                    # or rest_for(s), limit(rate), be_well()
    signals.arrived(find_sender)           # for each request
    signals.headers(find_sender, status)   # of each answer, once it is sent

`find_sender` returns the process that sent the request. It costs time, and is
called only while the target says something.

Each rule is judged by what one process of a node was told: from 2 s after an
answer that says that the target leaves, it gets nothing from that process;
from half a second after a rejection that asks for rest until the rest's end,
two requests at most; and a target that names a limit gets, from 3 s on, in
any 4 s one and a half times the limit and 5 more from processes that have
known for half a second. A process that stood still since is excused.
"""

import collections
import threading
import time

LEAVING_BOUND_S = 2
REST_GRACE_S, REST_SLACK = 0.5, 2
LIMIT_GRACE_S, LIMIT_KNOWN_S, LIMIT_SPAN_S = 3, 0.5, 4


class TargetSignals:
    """Of one target. Thread safe."""

    def __init__(self, name, senders, note):
        self.name, self.senders, self.note = name, senders, note
        self.lock = threading.Lock()
        self.be_well()

    def be_well(self):
        """As another process under the target's id."""
        with self.lock:
            self.leaving, self.rest, self.rate = False, None, None
            self.told_leaving, self.told_rest, self.told_rate = {}, {}, {}
            self.arrivals = collections.deque()

    def listed_as_another(self):
        """Nodes take it for another process from now on, which hasn't said
        that it leaves: its entry has another start than the one that the store
        had lost it to. On the users' platform each start has an id of its
        own."""
        with self.lock:
            self.told_leaving = {}

    def leave(self):
        with self.lock:
            self.leaving = True

    def rest_for(self, seconds):
        with self.lock:
            self.rest = seconds

    def limit(self, rate):
        with self.lock:
            self.rate = rate

    def is_excused(self, process, since):
        return self.senders.stood_still[process] >= since

    @property
    def speaks(self):
        return self.leaving or self.rest is not None or self.rate is not None

    def arrived(self, find_sender):
        now = time.monotonic()
        process = find_sender() if self.speaks else None
        if process is None:
            return
        with self.lock:
            self.check_leaving(process, now)
            self.check_rest(process, now)
            self.check_limit(process, now)

    def check_leaving(self, process, now):
        told = self.told_leaving.get(process)
        if (told is not None and now > told + LEAVING_BOUND_S
                and not self.is_excused(process, told)):
            self.note(f"{self.name} got a request {now - told:.1f} s after it "
                      f"said that it leaves")

    def check_rest(self, process, now):
        """Each rest counts by itself, also within another."""
        for rest in self.told_rest.get(process, []):
            told, seconds, _ = rest
            if not told + REST_GRACE_S < now < told + seconds:
                continue
            rest[2] += 1
            if rest[2] > REST_SLACK and not self.is_excused(process, told):
                self.note(f"{self.name} got {rest[2]} requests in "
                          f"{seconds:.1f} s of rest")

    def check_limit(self, process, now):
        if not self.told_rate or self.rate is None:
            return
        first, known = min(self.told_rate.values()), self.told_rate.get(process)
        if (known is None or now < known + LIMIT_KNOWN_S
                or now < first + LIMIT_GRACE_S
                or self.is_excused(process, known)):
            return
        self.arrivals.append((now, process))
        while self.arrivals[0][0] < now - LIMIT_SPAN_S:
            self.arrivals.popleft()
        # One that was restarted is excused with what it sent before.
        running = set(self.senders.processes())
        count = sum(it[1] in running for it in self.arrivals)
        allowed = 1.5 * self.rate * LIMIT_SPAN_S + 5
        if count > allowed:
            self.note(f"{self.name} got {count} requests in {LIMIT_SPAN_S} s, "
                      f"{allowed:g} allowed")

    def headers(self, find_sender, status):
        out = {}
        if not self.speaks:
            return out
        process = find_sender()
        now = time.monotonic()
        with self.lock:
            if self.leaving:
                out["Server-Leaving"] = "1"
                self.told_leaving.setdefault(process, now)
            if self.rate is not None:
                out["Server-Limit"] = f"{self.rate}"
                self.told_rate.setdefault(process, now)
            if self.rest is not None and status == 503:
                out["Retry-After"] = f"{self.rest:.3f}"
                self.told_rest.setdefault(process, []).append(
                    [now, self.rest, 0])
        return out

    @property
    def turns_away(self):
        return self.rest is not None
