#!/usr/bin/env python3
"""Where requests were lost, from the structured logs of the nodes.

    tools/losses/losses.py node-*.log
    tools/losses/losses.py --plot day.svg node-*.log

Prints three tables: requests that ended without an answer by reason, by span
of time, and by route; and for each refusal for want of tokens where tokens of
the team lay at that moment: in one node's stock, spread over several, in the
platform's record, or nowhere. Besides, the calls of the platform by what they
were for, and what the nodes sent to each other by kind. The plot shows answers, late ones, refusals and
failures by second, with the faults that the nodes noticed beneath.

Lines need not be in order; text in front of a line's JSON is passed over.
Times are seconds since the first line, by each host's clock. What a node
holds is known from its own lines, so it is as old as the last of them.
"""

import argparse
import collections
import json
import subprocess
import sys
from datetime import datetime

SPAN_S = 2
# Events that tell the end of a request, and those that tell of a fault.
ENDS = {"request_answered", "request_refused", "request_failed", "caller_left",
        "call_rejected"}
FAULTS = {"platform_out": "platform away", "node_started": "node starts",
          "target_died": "target dies", "news_late": "news late"}
SHORT = "short of tokens"
HEAD = {"time", "host", "event", "name", "level", "at"}


def read_events(lines):
    """The events of all lines that hold one, ordered by time."""
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
            at = datetime.fromisoformat(event["time"].replace("Z", "+00:00"))
        except (ValueError, KeyError, TypeError):
            continue
        event["at"] = at.timestamp()
        events.append(event)
    events.sort(key=lambda it: it["at"])
    if events:
        first = events[0]["at"]
        for event in events:
            event["at"] -= first
    return events


def read_amounts(text):
    """`team:tokens,team:tokens` as a dictionary."""
    pairs = (it.rsplit(":", 1) for it in (text or "").split(",") if it)
    return {team: int(amount) for team, amount in pairs}


class Stocks:
    """What each node was last seen to hold of each team."""

    def __init__(self):
        self.held = collections.defaultdict(dict)
        self.record = {}

    def take(self, event):
        host, name = event.get("host"), event.get("name")
        if name == "node_started":
            for nodes in self.held.values():
                nodes.pop(host, None)
        elif name == "tokens_allotted":
            self.record.update(read_amounts(event.get("left")))
            for team, amount in read_amounts(event.get("amounts")).items():
                nodes = self.held[team]
                nodes[host] = nodes.get(host, 0) + amount
        elif name == "tokens_moved" and "left" in event:
            self.held[event["team"]][host] = int(event["left"])
        elif event.get("tokens_free") and event.get("team"):
            self.held[event["team"]][host] = int(event["tokens_free"])

    def place_of(self, team, wanted):
        """Where `wanted` tokens of the team lie."""
        held = self.held[team].values()
        if max(held, default=0) >= wanted:
            return "one node"
        if sum(held) >= wanted:
            return "several nodes"
        if self.record.get(team, 0) >= wanted:
            return "record"
        return "nowhere"


def losses(events):
    """Tables of what was lost: by reason, span and route, and of tokens."""
    by_reason = collections.Counter()
    by_span = collections.defaultdict(collections.Counter)
    by_route = collections.defaultdict(collections.Counter)
    by_place = collections.defaultdict(collections.Counter)
    stocks = Stocks()
    for event in events:
        stocks.take(event)
        if event.get("name") not in ENDS:
            continue
        answered = event["name"] == "request_answered"
        reason = "answered" if answered else event.get("reason", "")
        kind = (event["name"], reason, event.get("outcome", ""))
        span = int(event["at"] // SPAN_S) * SPAN_S
        by_span[span][reason] += 1
        by_route[event.get("route", "")][reason] += 1
        if not answered:
            by_reason[kind] += 1
        if reason == SHORT:
            wanted = int(event.get("tokens_wanted", 1))
            place = stocks.place_of(event.get("team", ""), wanted)
            by_place[span][place] += 1
    return by_reason, by_span, by_route, by_place


def calls(events):
    """Calls of the platform by what they were for, with those that lost
    against another write or had no answer."""
    out = collections.Counter()
    for event in events:
        if event.get("name") == "platform_calls":
            out.update({field: int(n) for field, n in event.items()
                        if field not in HEAD})
    return out


def traffic(events):
    """Datagrams and bytes between nodes by kind."""
    out = collections.defaultdict(lambda: (0, 0))
    for event in events:
        if event.get("name") != "mesh_sent":
            continue
        for kind in set(event) - HEAD:
            datagrams, size = (int(it) for it in event[kind].split("/"))
            out[kind] = (out[kind][0] + datagrams, out[kind][1] + size)
    return dict(out)


def print_rows(title, rows):
    print(title)
    for name, counts in rows:
        parts = ", ".join(f"{reason or '-'} {n}"
                          for reason, n in counts.most_common(6))
        print(f"  {name}: {parts}")


def print_tables(tables):
    by_reason, by_span, by_route, by_place = tables
    print("ends without an answer")
    for (name, reason, outcome), n in by_reason.most_common():
        print(f"  {n:6d} {name} {reason or '-'} ({outcome})")
    print_rows(f"by time, {SPAN_S} s each", sorted(by_span.items()))
    print_rows("by route", sorted(by_route.items()))
    print_rows("short of tokens: where they lay", sorted(by_place.items()))


def plot(events, late_ms, path):
    """One picture: ends by second, and faults as marks beneath."""
    series = collections.defaultdict(collections.Counter)
    marks = []
    for event in events:
        second = int(event["at"])
        name = event.get("name")
        if name == "request_answered":
            late = int(event.get("ms", 0)) > late_ms
            series["late" if late else "answered"][second] += 1
        elif name == "request_refused":
            series["refused"][second] += 1
        elif name == "request_failed":
            series["failed"][second] += 1
        elif name in FAULTS:
            marks.append((event["at"], list(FAULTS).index(name)))
    last = int(events[-1]["at"]) if events else 0
    kinds = ["answered", "late", "refused", "failed"]
    blocks = ["\n".join(f"{s} {series[kind][s]}" for s in range(last + 1))
              for kind in kinds]
    blocks.append("\n".join(f"{at:.2f} {-(row + 1) * 4}"
                            for at, row in marks) or "0 NaN")
    labels = [f"set label '{text}' at graph 1.01, first {-(row + 1) * 4}"
              for row, text in enumerate(FAULTS.values())]
    parts = [f"'-' with lines title '{kind}'" for kind in kinds]
    parts.append("'-' with points pt 7 ps 0.4 notitle")
    script = ["set terminal svg size 1000,500", f"set output '{path}'",
              "set rmargin 18", "set xlabel 'seconds'",
              "set ylabel 'requests a second'", *labels,
              "plot " + ", ".join(parts)]
    text = "\n".join(script) + "\n" + "\ne\n".join(blocks) + "\ne\n"
    subprocess.run(["gnuplot"], input=text, text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("logs", nargs="+", help="logs of the nodes; -: stdin")
    parser.add_argument("--plot", metavar="SVG", help="draw the day as well")
    parser.add_argument("--late-ms", type=int, default=1000,
                        help="answers that took longer count as late there")
    options = parser.parse_args()
    lines = []
    for name in options.logs:
        with sys.stdin if name == "-" else open(name, errors="replace") as log:
            lines += log.readlines()
    events = read_events(lines)
    if not events:
        print("no event in these logs", file=sys.stderr)
        return 1
    print_tables(losses(events))
    print("calls of the platform")
    for name, n in calls(events).most_common():
        print(f"  {n:6d} {name}")
    print("between nodes: datagrams, bytes")
    for kind, (n, size) in sorted(traffic(events).items()):
        print(f"  {n:8d} {size:10d} {kind}")
    if options.plot:
        plot(events, options.late_ms, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
