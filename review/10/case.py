"""A worker is dark until its entry has lapsed, and is back soon after.

At that moment a node has chosen it, the last worker of its version, for a
stream that is resumed after its first worker died, and waits for leave from a
node that is frozen. Other requests are under way there, on kept connections.
"""

import json
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import client
import fleet as fleets
import sample
import worker as workers

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 2
CLIENTS = 8
MAX_LOST = 3
LAPSE_S = 3 * workers.HEARTBEAT_S


def slow(worker, request, it):
    """A sound worker that takes two seconds."""
    worker.note_run(request)
    time.sleep(2.0)
    it.sendall(workers.response(200, worker.signed(request), b"x" * 800))
    return True


def main():
    fleet = fleets.Fleet(NODES)
    config = sample.configuration()
    config["services"].append(dict(config["services"][1], name="other"))
    config["routes"].append(sample.route("resumable", "/resumable/", "llm", "streaming", 12000,
                                         sticky=True, resume=True, attempts=1))
    config["routes"].append(sample.route("other", "/other/", "other", "non_idempotent", 6000))
    fleet.store.put("config", "main", config)
    start = time.monotonic()
    lines = []
    lock = threading.Lock()

    def note(text):
        with lock:
            lines.append("%7.3f %s" % (time.monotonic() - start, text))

    dying = threading.Event()
    whole = workers.stream(12)

    def engine(worker, request, it):
        if not dying.is_set():
            return whole(worker, request, it)
        dying.clear()
        head = workers.response(200, worker.signed(request) + [
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")],
            b"", length=False)
        event = b"id: 1\ndata: ttttttt\n\n"
        it.sendall(head + b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(0.1)
        note("worker %s ends for good while it runs %s" % (worker.id, request.path))
        worker.crash()
        return False

    def add_engine(number, version):
        return workers.Worker(fleet.store, "llm", "%s.%d" % (fleet.net, 100 + number),
                              engine=True, run=engine, version=version)

    engines = [add_engine(i, "v1") for i in range(6)]
    others = [workers.Worker(fleet.store, "other", "%s.%d" % (fleet.net, 120 + i), slots=6,
                             run=slow) for i in range(3)]
    fleet.start_all()
    if not fleet.wait_ready():
        fleet.stop_all()
        os._exit(2)
    time.sleep(4)

    def ask(node, path, resume_after=""):
        request_id = client.new_id()
        it = client.Client(fleet.front(node))
        extra = sample.prompt(300, 84, [(7, 200), (8 + ord(path[-1]), 100)])
        if resume_after:
            extra.append(("Last-Event-Id", resume_after))
        got = it.ask("POST", path, sample.fields(request_id, 6000, extra=extra), b"the same")
        it.close()
        shown = "none" if got is None else "%d%s" % (got.status, "" if got.whole else ", cut")
        note("node %d %s %s%s: %s" % (node, request_id, path,
                                      " after event " + resume_after if resume_after else "",
                                      shown))
        return got

    def die_of(path, node):
        """The worker that begins the stream ends for good after an event."""
        dying.set()
        ask(node, path)
        time.sleep(1.0)

    # The node that gives leave is found in the log of one that asks.
    for i in range(NODES):
        die_of("/resumable/a%d" % i, i)
        ask(i, "/resumable/a%d" % i, "1")
        givers = set()
        for k in range(NODES):
            for line in fleet.log(k).splitlines():
                if '"request_suspected"' in line:
                    givers.add(json.loads(line).get("giver", ""))
        givers.discard("")
        if givers:
            break
    if not givers:
        note("no node asked for leave")
        fleet.stop_all()
        print("\n".join(lines))
        os._exit(2)
    giver = int(givers.pop().rsplit("-", 1)[1])
    node = (giver + 1) % NODES
    note("node %d gives leave; requests go to node %d" % (giver, node))
    # A release: new workers start first, the old ones leave one after the other.
    path = "/resumable/b"
    die_of(path, node)
    left = [it for it in engines if it.alive]
    for i, it in enumerate(left[1:]):
        add_engine(10 + i, "v2")
        time.sleep(1.0)
        it.leave()
        note("worker %s of v1 is draining, one of v2 takes its place" % it.id)
    for i in range(2):
        add_engine(20 + i, "v2")
    note("two more workers of v2 are added")
    last = left[0]
    note("the last worker of v1: %s" % last.id)
    time.sleep(2.0)
    clients = [client.Client(fleet.front(node)) for _ in range(CLIENTS)]
    answers = {}

    def long_request(it):
        request_id = client.new_id()
        got = it.ask("POST", "/other/x", sample.fields(request_id, 6000), b"a request")
        with lock:
            answers[request_id] = got
        note("answer %s: %s" % (request_id, got.status if got else "none, closed"))

    for turn in range(2):
        threads = [threading.Thread(target=long_request, args=(it,)) for it in clients]
        if turn == 1:
            last.go_dark()
            note("worker %s is dark" % last.id)
            time.sleep(LAPSE_S)
        for it in threads:
            it.start()
        if turn == 1:
            time.sleep(0.3)
            if TROUBLE:
                fleet.signal(giver, signal.SIGSTOP)
                note("node %d is frozen" % giver)
            asking = threading.Thread(target=ask, args=(node, path, "1"))
            asking.start()
            time.sleep(0.07)
            fleet.store.remove("servers", last.id)
            note("the entry of %s has lapsed" % last.id)
            time.sleep(0.23)
            last.come_back()
            fleet.store.put("servers", last.id, last.entry())
            note("worker %s is back" % last.id)
            time.sleep(0.4)
            if TROUBLE:
                fleet.signal(giver, signal.SIGCONT)
                note("node %d runs again" % giver)
            asking.join()
        for it in threads:
            it.join()
    time.sleep(0.5)
    for i in range(NODES):
        status = fleet.exit_status(i)
        note("node %d %s" % (i, "runs" if status is None
                             else "ended by itself with exit status %d" % status))
    ran = {run[1] for it in others for run in it.runs}
    lost = sum(1 for it, got in answers.items() if got is None and it in ran)
    note("requests that ran and whose kept connection was closed without an answer: %d; "
         "allowed: %d" % (lost, MAX_LOST))
    fleets.finish(fleet, os.path.join(HERE, "record.txt"), lines, lost > MAX_LOST)


main()
