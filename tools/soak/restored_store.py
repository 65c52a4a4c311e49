"""Restores the store from copies of some seconds ago, as its next era.

The nodes can repair what was lost as long as a process lives that knows of it.
So a copy is never older than the life of the process that lives longest, and
that process is spared until the nodes have had time for the repair: what a
fleet forgets that dies as a whole within the lost seconds is its known limit
(docs/notes/restored-store.md).
"""

import collections
import threading
import time

# Oldest copy that is kept, in seconds.
OLDEST = 8
# By then a process that started knows what the others know.
SETTLED = 3
# From a restore on, until the record is repaired.
REPAIR = 5


class Copies:
    """States of the store before each change."""

    def __init__(self):
        self.states = collections.deque()

    def keep(self, objects, revision):
        now = time.time()
        state = {kind: dict(all_of) for kind, all_of in objects.items()}
        self.states.append((now, state, revision))
        while self.states and self.states[0][0] < now - OLDEST:
            self.states.popleft()

    def restore(self, objects, revision, age):
        """The state `age` seconds ago: that before the first later change."""
        since = time.time() - age
        for at, state, then in self.states:
            if at >= since:
                self.states.clear()
                return collections.defaultdict(dict, state), then
        return objects, revision


class Restores:
    """Series of restores; the operator and the targets write again."""

    def __init__(self, store, nodes, write_again):
        self.store, self.nodes, self.write_again = store, nodes, write_again
        self.until, self.node = 0.0, None

    def spared(self):
        """The node whose process must live, if any."""
        return self.node if time.time() < self.until else None

    def begin(self, plan):
        running = [it for it in self.nodes()
                   if it.process and it.process.poll() is None]
        oldest = min(running, key=lambda it: it.started, default=None)
        if oldest is None or time.time() < self.until:
            return
        lived = time.time() - oldest.started - SETTLED
        if lived <= 0:
            return
        self.node, self.until = oldest, time.time() + REPAIR
        age = min(plan.uniform(0.1, OLDEST), lived)
        away, late = plan.uniform(0, 0.5), plan.uniform(0.1, 1.5)
        self.store.mode = "down"

        def come_back():
            self.store.restore(age + away)
            self.store.mode = "well"
            threading.Timer(late, self.write_again).start()
        threading.Timer(away, come_back).start()
