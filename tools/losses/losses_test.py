"""Tests of losses.py: python3 tools/losses/losses_test.py"""

import json
import unittest

import losses


def line(second, name, **fields):
    event = {"time": f"2026-01-01T00:00:{second:02d}.000Z", "name": name,
             "host": "a", **fields}
    return "12.3 a " + json.dumps(event)


def short(second, **fields):
    return line(second, "request_refused", reason="short of tokens", team="t",
                outcome="503", route="r", **fields)


def places(lines):
    by_place = losses.losses(losses.read_events(lines))[3]
    return [place for counts in by_place.values() for place in counts]


class SumsTest(unittest.TestCase):
    def test_calls_of_all_nodes_are_added(self):
        events = losses.read_events(
            [line(1, "platform_calls", write_allotments="3", conflicts="1"),
             line(2, "platform_calls", write_allotments="4", conflicts="0")])
        self.assertEqual({"write_allotments": 7, "conflicts": 1},
                         losses.calls(events))

    def test_traffic_is_added_by_kind(self):
        events = losses.read_events(
            [line(1, "mesh_sent", news="2/900", beacons="1/300"),
             line(2, "mesh_sent", news="1/500", beacons="0/0")])
        self.assertEqual({"news": (3, 1400), "beacons": (1, 300)},
                         losses.traffic(events))


class LossesTest(unittest.TestCase):
    def test_lines_are_put_in_order(self):
        events = losses.read_events([line(5, "b"), "no event", line(3, "a")])
        self.assertEqual(["a", "b"], [it["name"] for it in events])
        self.assertEqual(2, events[1]["at"])

    def test_tokens_in_the_record_are_told_from_none(self):
        allotted = line(1, "tokens_allotted", amounts="t:50", left="t:900")
        self.assertEqual(["record"],
                         places([allotted, short(2, tokens_wanted="70",
                                                 tokens_free="50")]))
        self.assertEqual(["nowhere"],
                         places([allotted, short(2, tokens_wanted="1000",
                                                 tokens_free="50")]))

    def test_tokens_of_other_nodes_are_seen(self):
        other = line(1, "tokens_allotted", amounts="t:80", left="t:0")
        other = other.replace('"host": "a"', '"host": "b"')
        refused = short(2, tokens_wanted="70", tokens_free="5")
        self.assertEqual(["one node"], places([other, refused]))
        refused = short(2, tokens_wanted="82", tokens_free="5")
        self.assertEqual(["several nodes"], places([other, refused]))

    def test_a_node_that_starts_holds_nothing(self):
        held = line(1, "tokens_allotted", amounts="t:80", left="t:0")
        started = line(2, "node_started")
        self.assertEqual(["nowhere"],
                         places([held, started, short(3, tokens_wanted="7")]))

    def test_ends_are_counted_by_reason(self):
        by_reason, by_span, by_route, _ = losses.losses(losses.read_events(
            [line(1, "request_answered", route="r"), short(2)]))
        self.assertEqual(
            1, by_reason[("request_refused", "short of tokens", "503")])
        self.assertEqual(1, by_route["r"]["answered"])
        self.assertEqual(1, by_span[0]["short of tokens"])


if __name__ == "__main__":
    unittest.main()
