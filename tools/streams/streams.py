#!/usr/bin/env python3
"""Streams that hold events of several software versions, from the nodes' logs.

    tools/streams/streams.py node-*.log

Joins the attempts of each request, and the requests of each stream by the
attempt that its caller names, and prints each stream whose events came from
targets of several versions. Then how many streams were asked for again, by
decision and by end, and how long the question took. Exit code 1: there is a
stream of several versions.

Lines need not be in order. Nodes leave out lines beyond a limit, so a stream
may be missing; none is reported that wasn't so.
"""

import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "losses"))
from losses import ENDS, read_events  # noqa: E402


class Request:
    """One attempt of a caller: the targets' versions whose events it got."""

    def __init__(self):
        self.parts = []  # (time, events so far, version)
        self.resumes = ""
        self.end = ""
        self.decision = ""

    def versions(self):
        """Versions of the targets that added events, in order."""
        out = []
        before = 0
        for _, events, version in sorted(self.parts):
            if events > before and version not in out:
                out.append(version)
            before = max(before, events)
        return out


def requests_of(events):
    out = collections.defaultdict(Request)
    for event in events:
        name = event.get("name")
        if "id" not in event:
            continue
        request = out[event["id"]]
        if name == "stream_resumed":
            request.decision = event.get("decision", "")
        if name in ENDS:
            request.end = event.get("outcome", "")
            request.resumes = event.get("resumes", "")
        if name in ENDS or name == "attempt_ended":
            request.parts.append((event["at"], int(event.get("events") or 0),
                                  event.get("version", "")))
    return out


def mixed(requests):
    """(first attempt, attempt, versions) of streams of several versions."""
    out = []
    for name, request in requests.items():
        versions = list(request.versions())
        if request.resumes in requests:
            for version in reversed(requests[request.resumes].versions()):
                if version not in versions:
                    versions.insert(0, version)
        if len(versions) > 1:
            out.append((request.resumes or name, name, versions))
    return out


def questions(events):
    """Milliseconds that each question to other nodes took, sorted."""
    return sorted(int(it["ms"]) for it in events
                  if it.get("name") == "stream_resumed"
                  and int(it.get("asked") or 0) > 0)


def main(paths):
    lines = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += file
    events = read_events(lines)
    requests = requests_of(events)
    found = mixed(requests)
    for first, name, versions in found:
        print(f"{first} went on as {name}: {' then '.join(versions)}")
    print(f"{len(found)} streams of several versions")
    taken_up = collections.Counter(
        (it.decision, it.end) for it in requests.values() if it.decision)
    for (decision, end), n in sorted(taken_up.items()):
        print(f"resumed: {decision}, {end or 'end not logged'}: {n}")
    took = questions(events)
    if took:
        print(f"questions: {len(took)}, median {took[len(took) // 2]} ms, "
              f"most {took[-1]} ms")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
