"""Whether each team gets its share, at each node that its callers keep to.

    shares = FairShares(note)
    shares.count("u", 1, served=True)     # the team keeps to node 1
    shares.count("t", None, served=False)
    shares.check()                        # at the end

No team is served less than a quarter as often as all others, and none where
its callers keep to one node either. Judged once 20 calls of each were sent.
"""

import collections
import random
import threading

MIN_CALLS, LEAST_SHARE = 20, 0.25


class FairShares:
    """Thread safe."""

    def __init__(self, note):
        self.note, self.lock = note, threading.Lock()
        self.sent, self.served = collections.Counter(), collections.Counter()

    def count(self, team, node, served):
        """`node` is the one that the team's callers keep to, or None."""
        groups = [(team, None)] + ([(team, node)] if node is not None else [])
        with self.lock:
            for it in groups:
                self.sent[it] += 1
                self.served[it] += served

    def check(self):
        sent = sum(n for it, n in self.sent.items() if it[1] is None)
        served = sum(n for it, n in self.served.items() if it[1] is None)
        for group, own in sorted(self.sent.items(), key=str):
            # Compared with all, a team that sends most of the calls would
            # lower what it is measured by.
            others = sent - own
            if own < MIN_CALLS or others < MIN_CALLS:
                continue
            share = self.served[group] / own
            share_of_others = (served - self.served[group]) / others
            if share < LEAST_SHARE * share_of_others:
                self.note(f"of the calls of {self.name(group)} {share:.2f} "
                          f"were served, of all others {share_of_others:.2f}")

    @staticmethod
    def name(group):
        team, node = group
        return f"team {team}" + (f" at n{node}" if node is not None else "")

    @property
    def summary(self):
        return ", ".join(f"{self.served[it]} of {n} for {self.name(it)}"
                         for it, n in sorted(self.sent.items(), key=str))


class Floods:
    """When a team's callers send several times their usual, and where."""

    USUAL_LANES, FLOOD_LANES = 2, 8

    def __init__(self, seed, nodes, stop):
        self.plan, self.nodes, self.stop = random.Random(seed), nodes, stop
        self.node, self.is_on = self.plan.randrange(nodes), False

    def run(self):
        while not self.stop.wait(self.plan.uniform(0.3, 1.5)):
            self.node, self.is_on = self.plan.randrange(self.nodes), True
            self.stop.wait(self.plan.uniform(2, 4))
            self.is_on = False

    def has_lane(self, lane):
        return lane < self.USUAL_LANES or self.is_on
