"""Runs one case: its record, its temporary folder, and its exit status."""

import os
import shutil
import signal
import sys
import tempfile
import threading
import time
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        with self.lock:
            at = time.monotonic() - self.began
            self.file.write("%8.3f %s\n" % (at, text))
            self.file.flush()


def run_case(folder, play):
    """Calls play(temporary folder, record, trouble), which ends all processes
    that it starts, and returns the exit status. TROUBLE=0 leaves out the
    disruption; KEEP=1 keeps the nodes' logs."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        result = play(temporary, record, trouble)
    except Exception:  # A fault of the case isn't one of the software.
        record.write(traceback.format_exc())
        result = NOT_RUN
    finally:
        if os.environ.get("KEEP"):
            record.write("logs in " + temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.write("exit %d" % result)
    return result
