"""A worker is dark until its entry has lapsed, and is back soon after.

At the moment of the lapse a node has chosen this worker for a request that is
suspected of a worker's death, and waits for leave from a node that is frozen.
Other requests are under way at the same node, on kept connections.
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
    config["routes"].append(sample.route("other", "/other/", "other", "non_idempotent", 6000))
    fleet.store.put("config", "main", config)
    start = time.monotonic()
    lines = []
    lock = threading.Lock()

    def note(text):
        with lock:
            lines.append("%7.3f %s" % (time.monotonic() - start, text))

    dying = set()

    def desk(worker, request, it):
        if worker.id in dying:
            note("worker %s ends while it runs %s" % (worker.id, request.path))
            worker.crash()
            return False
        return workers.plain(worker, request, it)

    desks = [workers.Worker(fleet.store, "desk", "%s.%d" % (fleet.net, 110 + i), slots=6,
                            run=desk) for i in range(3)]
    others = [workers.Worker(fleet.store, "other", "%s.%d" % (fleet.net, 120 + i), slots=6,
                             run=slow) for i in range(3)]
    fleet.start_all()
    if not fleet.wait_ready():
        fleet.stop_all()
        os._exit(2)
    time.sleep(4)

    def ask(node, path):
        request_id = client.new_id()
        it = client.Client(fleet.front(node))
        got = it.ask("POST", path, sample.fields(request_id), b"the same body")
        it.close()
        note("node %d %s %s: %s" % (node, request_id, path, got.status if got else "none"))
        return got

    def die_of(path, node):
        """Some worker ends for good while it runs the request."""
        for it in desks:
            dying.add(it.id)
        ask(node, path)
        dying.clear()
        time.sleep(1.0)

    # The node that gives leave is found in the log of one that asks.
    die_of("/ticket/a", 0)
    for i in range(NODES):
        ask(i, "/ticket/a")
    givers = set()
    for i in range(NODES):
        for line in fleet.log(i).splitlines():
            if '"request_suspected"' in line:
                givers.add(json.loads(line).get("giver"))
    givers = [it for it in givers if it]
    if not givers:
        note("no node asked for leave")
        fleet.stop_all()
        print("\n".join(lines))
        os._exit(2)
    giver = int(givers[0].rsplit("-", 1)[1])
    node = (giver + 1) % NODES
    note("node %d gives leave; requests go to node %d" % (giver, node))
    die_of("/ticket/b", node)
    left = [it for it in desks if it.alive]
    note("workers left: %s" % [it.id for it in left])
    # The entries of the ended workers lapse, and idle connections end.
    time.sleep(2 * LAPSE_S)
    for it in desks:
        if not it.alive:
            pass
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
            last = left[0]
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
            asking = threading.Thread(target=ask, args=(node, "/ticket/b"))
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
