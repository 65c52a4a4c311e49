"""Tests of streams.py; run in this folder: python3 streams_test.py"""

import json
import unittest

import streams


def line(second, name, **fields):
    time = f"2026-01-01T00:00:{second:06.3f}Z"
    return json.dumps({"time": time, "name": name, **fields})


def requests(*lines):
    return streams.requests_of(streams.read_events(lines))


def answered(second, name, version, events, **fields):
    return line(second, "request_answered", id=name, outcome="answered",
                version=version, events=str(events), **fields)


class Streams(unittest.TestCase):
    def test_one_version(self):
        got = requests(
            line(1, "attempt_ended", id="a", version="v1", events="2"),
            answered(2, "a", "v1", 4))
        self.assertEqual([], streams.mixed(got))

    def test_two_versions_within_a_response(self):
        got = requests(
            line(1, "attempt_ended", id="a", version="v1", events="2"),
            answered(2, "a", "v2", 4))
        self.assertEqual([("a", "a", ["v1", "v2"])], streams.mixed(got))

    def test_an_attempt_without_events_adds_no_version(self):
        got = requests(
            line(1, "attempt_ended", id="a", version="v1", events="0"),
            answered(2, "a", "v2", 4))
        self.assertEqual([], streams.mixed(got))

    def test_two_versions_over_the_attempts_of_a_caller(self):
        got = requests(
            line(1, "caller_left", id="a", version="v1", events="2",
                 outcome="caller_left"),
            answered(2, "b", "v2", 4, resumes="a"))
        self.assertEqual([("a", "b", ["v1", "v2"])], streams.mixed(got))

    def test_a_stream_begun_by_a_node_that_died_is_not_judged(self):
        got = requests(answered(2, "b", "v2", 4, resumes="a"))
        self.assertEqual([], streams.mixed(got))

    def test_the_time_of_questions(self):
        events = streams.read_events(
            [line(n, "stream_resumed", id=str(n), ms=str(ms), asked=asked)
             for n, (ms, asked) in enumerate([(4, "7"), (0, "0"), (2, "7")])])
        self.assertEqual([2, 4], streams.questions(events))


if __name__ == "__main__":
    unittest.main()
