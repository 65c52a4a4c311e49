"""Tests of restricted_targets.py: python3 tools/soak/restricted_targets_test.py"""

import collections
import socket
import time
import types
import unittest

import restricted_targets
from restricted_targets import BOUND_S, CONTACT_S, LIMIT

OLD, NEW = 11, 12  # Processes: one in touch since 0, one since NEW_SINCE.
NEW_SINCE = 99.0
CONFIRMED = 100.0


class RestrictedTargetsTest(unittest.TestCase):
    def setUp(self):
        self.found, self.writes = [], []
        self.outages = []
        outages = types.SimpleNamespace(all=lambda: self.outages)
        platform = types.SimpleNamespace(
            publish=lambda *it: self.writes.append(it),
            store=types.SimpleNamespace(outages=outages))
        senders = types.SimpleNamespace(
            stood_still=collections.defaultdict(float))
        self.senders = senders
        self.checker = restricted_targets.RestrictedTargets(
            None, platform, senders, {OLD: 0.0, NEW: NEW_SINCE}.get,
            self.found.append)
        self.target = self.checker.targets[0]

    def send(self, at, process=OLD, path="/once-c/x", team="v"):
        """Returns whether the target crashes."""
        return self.checker.crashes(self.target, at, path, team + "1.2",
                                    lambda: process)

    def evacuate(self):
        self.checker.evacuated[self.target.center] = CONFIRMED

    def send_cold(self, count, begin, **of):
        return [self.send(begin + i * 0.01, **of) for i in range(count)]

    # Guards against a check that finds no node that ignores evacuations.
    def test_a_request_after_the_bound_of_an_evacuation_is_found(self):
        self.evacuate()
        self.send(CONFIRMED + BOUND_S - 0.01)
        self.assertEqual([], self.found)
        self.send(CONFIRMED + BOUND_S + 0.01)
        self.assertEqual(1, len(self.found))
        self.assertIn("d0 was evacuated", self.found[0])

    def test_a_revoked_evacuation_binds_nobody(self):
        self.evacuate()
        self.checker.revoke(self.target.center)
        self.assertEqual([("evacuations", "d0", None)], self.writes)
        self.send(CONFIRMED + 60)
        self.assertEqual([], self.found)

    def test_a_process_that_started_or_woke_is_judged_once_in_touch(self):
        self.evacuate()
        self.send(NEW_SINCE + CONTACT_S, NEW)
        self.senders.stood_still[OLD] = CONFIRMED
        self.send(CONFIRMED + CONTACT_S, OLD)
        self.assertEqual([], self.found)
        self.send(NEW_SINCE + CONTACT_S + 0.1, NEW)
        self.send(CONFIRMED + CONTACT_S + 0.1, OLD)
        self.assertEqual(2, len(self.found))

    def test_only_an_outage_within_the_bound_extends_it(self):
        deadline = restricted_targets.deadline
        self.assertEqual(102, deadline(100, 0, [(90, 99), (102.1, 110)]))
        self.assertEqual(110, deadline(100, 0, [(99, 103), (104, 108)]))
        self.assertEqual(107, deadline(100, 105, [(99, 103)]))

    # Guards against a check that finds no node that ignores cold quotas.
    def test_more_than_the_limit_in_one_second_is_found_and_crashes(self):
        self.target.be_cold(200, 100, None)
        self.assertEqual([False] * LIMIT + [True],
                         self.send_cold(LIMIT + 1, 100))
        self.assertEqual(1, len(self.found))

    def test_the_limit_in_each_second_passes(self):
        self.target.be_cold(200, 100, None)
        for second in range(100, 104):
            self.assertNotIn(True, self.send_cold(LIMIT, second))
        self.assertEqual([], self.found)

    def test_requests_out_of_touch_crash_a_target_and_are_not_found(self):
        self.target.be_cold(200, 100, None)
        self.assertIn(True, self.send_cold(LIMIT + 1, 100, process=NEW))
        self.assertEqual([], self.found)

    # The entry of a target that a process must have known as evacuated
    # doesn't say that it is cold.
    def test_after_an_evacuation_those_are_judged_that_had_to_know_it(self):
        self.target.be_cold(200, 101, (100, 101))
        self.send_cold(LIMIT + 1, 101)
        self.assertEqual([], self.found)
        self.target.be_cold(200, 110, (100, 110))
        self.send_cold(LIMIT + 1, 110)
        self.assertEqual(1, len(self.found))

    # Guards against a check that finds no node that ignores regions.
    def test_a_request_outside_of_its_regions_is_found(self):
        self.send(1, path="/once-c/x", team="w")
        self.assertEqual([], self.found)
        self.send(1, path="/again-c/x", process=NEW)
        self.send(1, path="/again-c/x", team="w")
        self.assertEqual(2, len(self.found))
        self.target = self.checker.targets[3]
        self.send(1, path="/again-c/x")
        self.assertEqual(2, len(self.found))
        self.send(1, path="/once-c/x", team="w")
        self.assertEqual(3, len(self.found))

    # Guards against bursts that are seen only because this process is slow.
    def test_the_arrival_time_is_that_of_the_kernel(self):
        with socket.create_server(("127.0.0.1", 0)) as server, \
                socket.create_connection(server.getsockname()) as client:
            client.send(b"x")
            sent = time.monotonic()
            taken, _ = server.accept()
            time.sleep(0.2)
            with taken:
                self.assertLess(
                    abs(restricted_targets.arrival_time(taken) - sent), 0.1)


if __name__ == "__main__":
    unittest.main()
