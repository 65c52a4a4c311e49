"""Tests of fair_shares.py: python3 tools/soak/fair_shares_test.py"""

import threading
import unittest

from fair_shares import FairShares, Floods


class FairSharesTest(unittest.TestCase):
    def setUp(self):
        self.found = []
        self.shares = FairShares(self.found.append)

    def count(self, team, node, sent, served):
        for i in range(sent):
            self.shares.count(team, node, i < served)

    def assert_found(self, *names):
        self.shares.check()
        self.assertEqual(len(names), len(self.found), self.found)
        for name, line in zip(names, self.found):
            self.assertIn(f"of {name} ", line)

    def test_equal_shares_pass(self):
        self.count("t", None, 100, 90)
        self.count("u", 1, 100, 80)
        self.assert_found()

    # Guards against a node that refuses nine in ten of one team's requests.
    def test_a_team_that_one_node_starves_is_found(self):
        self.count("t", None, 300, 280)
        self.count("u", 0, 300, 280)
        self.count("u", 1, 40, 4)
        self.assert_found("team u at n1")

    # Guards against a flood so large that "all" means the starved team.
    def test_a_starved_team_with_most_calls_is_found(self):
        self.count("t", None, 100, 90)
        self.count("u", None, 1000, 100)
        self.assert_found("team u")

    def test_a_flood_that_starves_the_others_is_found(self):
        self.count("t", None, 100, 10)
        self.count("u", 2, 1000, 900)
        self.assert_found("team t")

    def test_the_bound_is_a_quarter(self):
        self.count("t", None, 100, 100)
        self.count("u", None, 100, 25)
        self.assert_found()
        self.shares.count("u", None, False)
        self.assert_found("team u")

    def test_few_calls_are_not_judged(self):
        self.count("t", None, 100, 100)
        self.count("u", None, 19, 0)
        self.assert_found()
        self.shares.count("u", None, False)
        self.assert_found("team u")


class FloodsTest(unittest.TestCase):
    def test_one_plan_follows_from_one_seed(self):
        class Stop:
            def __init__(self):
                self.left, self.waits = 20, []

            def wait(self, seconds):
                self.left -= 1
                self.waits.append(seconds)
                return self.left < 0

        runs = [Stop(), Stop()]
        nodes = []
        for stop in runs:
            floods = Floods(7, 3, stop)
            floods.run()
            nodes.append(floods.node)
            self.assertFalse(floods.is_on)
        self.assertEqual(runs[0].waits, runs[1].waits)
        self.assertEqual(nodes[0], nodes[1])

    def test_a_flood_has_several_times_the_lanes(self):
        floods = Floods(1, 3, threading.Event())
        lanes = range(Floods.FLOOD_LANES)
        self.assertEqual(2, sum(floods.has_lane(it) for it in lanes))
        floods.is_on = True
        self.assertEqual(8, sum(floods.has_lane(it) for it in lanes))


if __name__ == "__main__":
    unittest.main()
