"""What counts as a request to a target that said that it leaves."""

import collections
import unittest

import target_signals
from target_signals import TargetSignals


class Senders:
    def __init__(self):
        self.stood_still = collections.defaultdict(float)


class Leaving(unittest.TestCase):
    def setUp(self):
        self.found, self.now = [], 100.0
        target_signals.time.monotonic = lambda: self.now
        self.signals = TargetSignals("i-1", Senders(), self.found.append)
        self.signals.leave()

    def tell(self):
        self.signals.headers(lambda: 7, 200)

    def request_after(self, seconds):
        self.now += seconds
        self.signals.arrived(lambda: 7)

    def test_a_request_within_the_bound_is_allowed(self):
        self.tell()
        self.request_after(1.9)
        self.assertEqual([], self.found)

    def test_a_later_request_is_found(self):
        self.tell()
        self.request_after(2.1)
        self.assertEqual(1, len(self.found))

    def test_another_process_has_to_say_so_again(self):
        self.tell()
        self.now += 1.5
        self.signals.listed_as_another()
        self.request_after(0.7)
        self.assertEqual([], self.found)
        self.tell()
        self.request_after(2.1)
        self.assertEqual(1, len(self.found))


if __name__ == "__main__":
    unittest.main()
