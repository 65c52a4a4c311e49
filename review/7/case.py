"""One request with a field of more than 65,533 bytes, within maxHeaderBytes.

Other clients have requests under way at the same node, on kept connections.
"""

import os
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
NODES = 3
CLIENTS = 8
MAX_HEADER_BYTES = 131072
PARTS = 10000  # Of the prompt; they take more than 65,533 bytes in one field.
MAX_LOST = 3


def slow(worker, request, it):
    """A sound worker that takes a second and a half."""
    worker.note_run(request)
    time.sleep(1.5)
    it.sendall(workers.response(200, worker.signed(request), b"x" * 800))
    return True


def main():
    fleet = fleets.Fleet(NODES)
    limits = {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": 4194304,
              "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    fleet.store.put("config", "main", sample.configuration(limits=limits))
    desks = [workers.Worker(fleet.store, "desk", "%s.%d" % (fleet.net, 110 + i), slots=6,
                            run=slow) for i in range(3)]
    for i in range(2):
        workers.Worker(fleet.store, "llm", "%s.%d" % (fleet.net, 100 + i), engine=True,
                       run=workers.stream(10))
    start = time.monotonic()
    lines = []
    lock = threading.Lock()

    def note(text):
        with lock:
            lines.append("%7.3f %s" % (time.monotonic() - start, text))

    fleet.start_all()
    if not fleet.wait_ready():
        fleet.stop_all()
        os._exit(2)
    time.sleep(4)
    clients = [client.Client(fleet.front(0)) for _ in range(CLIENTS)]
    answers = {}

    def ask(it, request_id):
        got = it.ask("POST", "/ticket/x", sample.fields(request_id), b"a ticket")
        with lock:
            answers[request_id] = got
        note("answer %s: %s" % (request_id, got.status if got else "none, closed"))

    for turn in range(2):
        # The first request of each makes its connection a kept one.
        threads = []
        for it in clients:
            request_id = client.new_id()
            threads.append(threading.Thread(target=ask, args=(it, request_id)))
            note("send   %s on %s connection" % (request_id, "a kept" if turn else "a new"))
            threads[-1].start()
        if turn == 1 and TROUBLE:
            time.sleep(0.5)
            for node in range(2):  # The client's first attempt and its retry.
                request_id = client.new_id()
                parts = [(i + 1, 1) for i in range(PARTS)]
                prompt = sample.prompt(PARTS, 70, parts)
                note("send   %s to node %d, with a field of %d bytes"
                     % (request_id, node, len(prompt[2][1])))
                got = client.Client(fleet.front(node)).ask(
                    "POST", "/lookup/x", sample.fields(request_id, 12000, extra=prompt), b"")
                note("answer %s: %s" % (request_id, got.status if got else "none, closed"))
        for it in threads:
            it.join()
    time.sleep(0.5)
    for i in range(NODES):
        status = fleet.exit_status(i)
        note("node %d %s" % (i, "runs" if status is None
                             else "ended by itself with exit status %d" % status))
    ran = {run[1] for desk in desks for run in desk.runs}
    lost = sum(1 for it, got in answers.items() if got is None and it in ran)
    note("requests that ran and whose kept connection was closed without an answer: %d; "
         "allowed: %d" % (lost, MAX_LOST))
    fleets.finish(fleet, os.path.join(HERE, "record.txt"), lines, lost > MAX_LOST)


main()
