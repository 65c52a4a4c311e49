#!/usr/bin/env python3
"""Fault soak: runs real nodes as processes on loopback and breaks things.

    tools/soak/soak.py --seed 7 --seconds 20 [--binary build/fennelladder]

One process of each node, a store and targets of our own in this process, and
callers that use them. Faults come from a seeded plan and overlap: nodes are
killed, paused, told to leave and started again; the store is down, turns
calls away, carries out writes and loses the reply, or comes back from an older
copy (restored_store.py); targets reset, cut and
delay answers, and say of themselves that they leave, want rest, or bear few
requests.

What is checked, from what callers and targets see:
  - a call that may run once ran once at most;
  - a call refused as "not run" (503 without the target's mark) never ran;
  - a success bears the mark of a run of that very request, and its whole body;
  - no team got more tokens than it had prepaid;
  - nodes heed what targets say of themselves (target_signals.py);
  - a part of prompts crashes few targets, while nodes are killed and paused
    (crashing_parts.py);
  - each team is served, also when its callers keep to one node and send
    several times their usual (fair_shares.py);
  - nodes stay within their memory beside callers that don't behave
    (unruly_callers.py);
  - targets of evacuated data centres, cold ones and those of other regions
    get no more than they may (restricted_targets.py);
  - at the end, with all faults over, calls are answered again.

Exit status 0 when all held, 1 with the findings otherwise. It ends only the
processes that it started.
"""

import argparse
import collections
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlparse

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "crowds"))

import crashing_parts
import restored_store
import restricted_targets
from fair_shares import FairShares, Floods
from loopback import free_ports, serve
from senders import Senders
from target_signals import TargetSignals
from unruly_callers import UnrulyCallers

NODES = 3
TARGETS = 3
HOST = "h.example"
# Tokens of the teams. "t" has about what its callers want in 20 s; those of
# "u" keep to one node; those of restricted_targets.TEAMS call its targets.
PREPAID = {"t": 60000, "u": 180000, "v": 600000, "w": 600000}
PROMPT, MOST_OUT, PER_EVENT = 300, 42, 7


def key_of(team):
    return f"key-{team}"


class Store:
    """The platform's store, with the faults that it may have."""

    def __init__(self):
        self.lock = threading.Condition()
        self.objects = collections.defaultdict(dict)
        self.revision = 10
        self.outages = restricted_targets.Outages()
        self.mode = "well"  # well, down, busy, lossy
        self.era = 1
        self.copies = restored_store.Copies()

    @property
    def mode(self):
        return self._mode

    @mode.setter
    def mode(self, mode):
        self._mode = mode
        self.outages.note("mode", not self.takes_writes())

    def takes_writes(self):
        return self.mode in ("well", "lossy")

    def put(self, kind, name, spec):
        """`spec` is None to delete."""
        with self.lock:
            self.copies.keep(self.objects, self.revision)
            self.revision += 1
            described = {"name": name, "revision": self.revision}
            stored = {"metadata": described, "spec": spec}
            # Of what was deleted, watches get the revision.
            self.objects[kind].pop(name, None)
            self.objects["deleted", kind].pop(name, None)
            where = ("deleted", kind) if spec is None else kind
            self.objects[where][name] = stored
            self.lock.notify_all()
            return stored

    def read(self, kind, name, query):
        if name:
            found = self.objects[kind].get(name)
            return (200, found) if found else (404, {})
        if "watch" in query:
            since, era = int(query["watch"][0]), self.era
            if since > self.revision:
                return 410, {}
            end = time.time() + int(query["waitMs"][0]) / 1000

            def news():
                changes = [(o["metadata"]["revision"], deleted, o)
                           for deleted, where in ((False, kind),
                                                  (True, ("deleted", kind)))
                           for o in self.objects[where].values()]
                return sorted(it for it in changes if it[0] > since)
            while (not news() and time.time() < end and self.mode == "well"
                   and self.era == era):
                self.lock.wait(0.05)
            if self.era != era:
                return 410, {}
            events = [{"deleted": deleted, "object": o}
                      for _, deleted, o in news()]
            return 200, {"events": events, "asOf": self.revision}
        items = list(self.objects[kind].values())
        return 200, {"items": items, "morePages": False, "asOf": self.revision}

    def write(self, method, kind, name, body):
        described = body["metadata"]
        present = self.objects[kind].get(described["name"])
        if method == "POST" and present:
            return 409, present
        if method == "PUT" and not present:
            return 404, {}
        wanted = described.get("revision")
        if present and wanted and wanted != present["metadata"]["revision"]:
            return 409, present
        return 200, self.put(kind, described["name"], body["spec"])

    def restore(self, age):
        """Comes back from the copy that is `age` seconds old."""
        with self.lock:
            self.objects, self.revision = self.copies.restore(
                self.objects, self.revision, age)
            self.era += 1
            self.outages.note("restore", True)
            self.lock.notify_all()

    def handler(self):
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_any(self):
                url = urlparse(self.path)
                parts = url.path.split("/")[3:] + [""]
                size = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(size)) if size else None
                if store.mode == "down":
                    self.close_connection = True
                    return
                if store.mode == "busy":
                    self.answer(503, {})
                    return
                with store.lock:
                    era = store.era
                    if self.command == "GET":
                        got = store.read(parts[0], parts[1],
                                         parse_qs(url.query))
                    else:
                        got = store.write(self.command, parts[0], parts[1],
                                          body)
                if (store.mode == "lossy" and self.command != "GET"
                        and random.random() < 0.5):
                    self.close_connection = True
                    return
                self.answer(*got, era=era)

            def answer(self, status, content, era=None):
                data = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Store-Era", str(era or store.era))
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_PUT = do_POST = do_DELETE = do_any

        return Handler


class Runs:
    """What targets ran, by request id, which begins with the team."""

    def __init__(self):
        self.lock = threading.Lock()
        self.of = collections.defaultdict(list)
        self.prompts = set()  # Requests whose prompt was read.
        self.delivered = collections.Counter()  # Events, by team.

    def begin(self, request, mark):
        with self.lock:
            self.of[request].append(mark)

    def read_prompt(self, request):
        with self.lock:
            self.prompts.add(request)

    def deliver(self, team, body):
        with self.lock:
            self.delivered[team] += body.count(b"id: ")

    def tokens(self, team):
        """A prompt counts once for its request, an event when it arrives."""
        prompts = sum(it.startswith(team) for it in self.prompts)
        return prompts * PROMPT + self.delivered[team] * PER_EVENT


def part_handler(target, parts):
    """Of a target that crashes on parts of prompts."""
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_):
            pass

        def do_any(self):
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
            request = self.headers["X-Request-Id"]

            def find_sender():
                return parts.senders.find(self.client_address,
                                          self.server.server_address)
            if parts.arrived(target, self.headers["X-Prompt-Prefix"],
                             find_sender):
                self.close_connection = True
                return
            self.send_response_only(200)
            self.send_header("X-Request-Id", request)
            self.send_header("X-Server-Signature", "s")
            self.send_header("Content-Length", "2")
            self.end_headers()
            self.wfile.write(b"ok")

        do_GET = do_POST = do_any

    return Handler


def target_handler(name, runs, fault, signals):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self):
            super().setup()
            self.sender = None

        def find_sender(self):
            if self.sender is None:
                self.sender = signals.senders.find(
                    self.client_address, self.server.server_address)
            return self.sender

        def log_message(self, *_):
            pass

        def do_any(self):
            signals.arrived(self.find_sender)
            size = int(self.headers.get("Content-Length") or 0)
            self.rfile.read(size)
            request = self.headers["X-Request-Id"]
            if self.headers["X-Expect-Instance"] != name:
                self.head(421, request, "", {"Content-Length": "0"})
                return
            mark = f"{name}.{random.getrandbits(48):x}"
            odd = fault()
            if odd == "reject" or signals.turns_away:
                self.head(503, request, "",
                          {"X-Not-Executed": "1", "Content-Length": "0"})
                return
            runs.begin(request, mark)
            if odd == "slow":
                time.sleep(random.uniform(0.05, 0.4))
            if odd == "lost":
                self.close_connection = True
                return
            if self.path.startswith("/stream"):
                self.stream(request, mark, odd)
                return
            body = f"{request}:{mark}".encode()
            self.head(200, request, mark, {"Content-Length": str(len(body))})
            self.wfile.write(body[:5] if odd == "cut" else body)
            self.close_connection = odd == "cut"

        def head(self, status, request, mark, headers):
            self.send_response_only(status)
            self.send_header("X-Request-Id", request)
            if status != 421:
                headers = headers | signals.headers(self.find_sender, status)
            if mark:
                self.send_header("X-Server-Signature", mark)
            for key, value in headers.items():
                self.send_header(key, value)
            self.end_headers()

        def stream(self, request, mark, odd):
            first = int(self.headers.get("Last-Event-Id") or 0) + 1
            runs.read_prompt(request)
            self.head(200, request, mark, {
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"})
            last = MOST_OUT // PER_EVENT
            for i in range(first, last + 1):
                if odd == "cut" and i == 3:
                    self.close_connection = True
                    return
                time.sleep(0.01)
                event = f"id: {i}\ndata: {request}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.write(b"0\r\n\r\n")

        do_GET = do_POST = do_any

    return Handler


def route(name, kind, resume=False, service="s"):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/",
            "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 400,
            "priority": 1, "service": service, "public": False,
            "sticky": kind == "streaming", "canResume": resume,
            "maxAttempts": 2 if resume or kind == "idempotent" else 1,
            "gapAimMs": 300}


def restricted_route(kind, *args):
    name = kind + restricted_targets.SUFFIX
    out = route(name, *args, service=restricted_targets.SERVICE)
    if kind in restricted_targets.ROUTES:
        out["allowedRegions"] = sorted(restricted_targets.ROUTES[kind])
    return out


def team(name, prepaid):
    out = {"name": name, "apiKeys": [key_of(name)], "prepaid": prepaid}
    if name in restricted_targets.TEAMS:
        out["allowedRegions"] = sorted(restricted_targets.TEAMS[name])
    return out


def configuration(version):
    cold = {"coldPerS": restricted_targets.COLD_PER_S,
            "coldStartS": restricted_targets.COLD_S}
    return {"version": version,
            "routes": [route("once", "non_idempotent"),
                       route("again", "idempotent"),
                       route("stream", "streaming", resume=True),
                       route("part", "idempotent",
                             service=crashing_parts.SERVICE),
                       restricted_route("once", "non_idempotent"),
                       restricted_route("again", "idempotent"),
                       restricted_route("stream", "streaming", True)],
            "services": [{"name": name, **more, "healthPath": "/health",
                          "maxConnections": 300,
                          "engine": {"slots": 64, "kvCacheTokens": 400000,
                                     "stride": PER_EVENT}}
                         for name, more in (
                             ("s", {}), (crashing_parts.SERVICE, {}),
                             (restricted_targets.SERVICE, cold))],
            "tenants": [team(*it) for it in PREPAID.items()]}


class Node:
    """One node's process and where it listens."""

    def __init__(self, binary, folder, number, store, ip, seeds):
        self.binary, self.number, self.ip = binary, number, ip
        self.front, self.ready, self.entry = free_ports(3)
        self.path = os.path.join(folder, f"n{number}.conf")
        self.log = open(os.path.join(folder, f"n{number}.log"), "ab")
        self.process, self.started = None, 0.0
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(f"nodeName=n{number}\nzone=z\nregion=r\nip={ip}\n"
                      f"listen.front={ip}:{self.front}\n"
                      f"listen.readyAddress={ip}:{self.ready}\n"
                      f"listen.directory={ip}:{self.entry}\n"
                      f"internalPortRange=17340,17355\n"
                      f"seedNodes={seeds}\nplatform.address={store}\n"
                      f"bounds.graceS=5\nzones.z=r\n"
                      f"{restricted_targets.SETTINGS}")

    def start(self):
        self.started = time.time()
        self.log_offset = os.path.getsize(self.log.name)
        self.process = subprocess.Popen(
            [self.binary, "front", "--settings-file", self.path],
            stdout=self.log, stderr=self.log)

    def has_begun(self):
        """Whether the process said that it has started."""
        with open(self.log.name, "rb") as log:
            log.seek(self.log_offset)
            return b'"name":"node_started"' in log.read()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Soak:
    def __init__(self, args):
        self.random = random.Random(args.seed)
        random.seed(args.seed)
        self.seconds, self.plan_seed = args.seconds, args.seed + 1000
        self.store, self.runs = Store(), Runs()
        self.found, self.lock = [], threading.Lock()
        self.outcomes = collections.Counter()
        self.shares = FairShares(self.note)
        self.fault_share = 0.0
        self.stop = threading.Event()
        self.floods = Floods(args.seed, NODES, self.stop)
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.closing = []
        senders = Senders(lambda: [it.process.pid for it in self.nodes
                                   if it.process])
        self.senders = senders
        self.targets = {}
        server, address = serve(self.store.handler())
        self.closing.append(server)
        self.published, self.publishing = {}, threading.Lock()
        self.version = 1
        self.publish("config", "main", configuration(self.version))
        for i in range(TARGETS):
            name = f"i-{i}"
            signals = TargetSignals(name, senders, self.note)
            server, where = serve(target_handler(name, self.runs, self.fault,
                                                 signals))
            self.closing.append(server)
            self.targets[name] = signals, where
            self.list_target(name)
        self.parts = crashing_parts.CrashingParts(
            part_handler, self.list_part_target, senders, self.started_at,
            self.note)
        self.parts.start()
        self.restricted = restricted_targets.RestrictedTargets(
            lambda name, signals: target_handler(name, self.runs, self.fault,
                                                 signals),
            self, senders, self.started_at, self.note)
        self.restricted.start()
        self.restores = restored_store.Restores(
            self.store, lambda: self.nodes, self.write_again)
        # Addresses of their own, so that soaks can run beside each other.
        ips = [f"127.7.{args.seed % 250}.{i + 1}" for i in range(NODES)]
        seeds = ",".join(f"{ip}:1" for ip in ips[:2])
        self.nodes = [Node(args.binary, self.folder, i, address, ip, seeds)
                      for i, ip in enumerate(ips)]
        self.unruly = UnrulyCallers(self.nodes, self.note)

    def list_target(self, name):
        """As a process that starts now."""
        self.publish("servers", name, {
            "service": "s", "address": self.targets[name][1], "zone": "z",
            "slots": 64, "state": "ready", "version": "v1",
            "coldRemainingMs": 0, "sequence": 1,
            "born": int(time.time() * 1000)})

    def publish(self, kind, name, spec):
        """As the operator or a target; a `spec` of None deletes."""
        with self.publishing:
            self.published[kind, name] = spec
            self.store.put(kind, name, spec)

    def write_again(self):
        """What the operator and the targets wrote last is written again."""
        with self.publishing:
            for (kind, name), spec in self.published.items():
                if self.is_another_start(kind, name, spec):
                    self.targets[name][0].listed_as_another()
                self.store.put(kind, name, spec)
            self.store.outages.note("restore", False)

    def is_another_start(self, kind, name, spec):
        """Whether the store came back with an older process of a target."""
        if kind != "servers" or name not in self.targets or spec is None:
            return False
        present = self.store.objects[kind].get(name)
        return present is not None and present["spec"]["born"] != spec["born"]

    def list_part_target(self, name, address):
        self.publish("servers", name, {
            "service": crashing_parts.SERVICE, "address": address, "zone": "z",
            "slots": 64, "state": "ready", "version": "v1",
            "coldRemainingMs": 0, "sequence": 1,
            "born": int(time.time() * 1000)})

    def started_at(self, process):
        """By the monotonic clock."""
        for node in self.nodes:
            if node.process and node.process.pid == process:
                return time.monotonic() - (time.time() - node.started)
        return time.monotonic()

    def call_part(self, prompt):
        """Returns whether it was answered."""
        node = random.choice(self.nodes)
        call = http.client.HTTPConnection(node.ip, node.front, timeout=5)
        try:
            call.request("POST", crashing_parts.PATH, body=prompt.encode(),
                         headers={"Host": HOST, "X-Request-Deadline-Ms": "4000",
                                  "X-Request-Id":
                                  "p%x" % random.getrandbits(60),
                                  "X-Prompt-Prefix": prompt,
                                  "Authorization": f"Bearer {key_of('t')}"})
            return call.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            call.close()

    def storms(self):
        plan = random.Random(self.plan_seed + 1)
        number = 0
        while not self.stop.wait(plan.uniform(0.5, 2)):
            number += 1
            self.parts.storm(self.call_part, f"bad{number}", self.stop)

    def speak(self):
        """Targets say of themselves what they take, each for some seconds."""
        plan = random.Random(self.plan_seed)
        while not self.stop.wait(plan.uniform(0.2, 1)):
            name = plan.choice(sorted(self.targets))
            signals, _ = self.targets[name]
            plan.choice([signals.leave,
                         lambda it=signals: it.rest_for(plan.uniform(1, 3)),
                         lambda it=signals: it.limit(plan.choice([0, 1, 5]))])()
            self.stop.wait(plan.uniform(2, 5))
            signals.be_well()
            self.list_target(name)

    def fault(self):
        if random.random() >= self.fault_share:
            return ""
        return random.choice(["reject", "slow", "lost", "cut"])

    def note(self, text):
        with self.lock:
            self.found.append(text)

    def addresses(self):
        """What a caller is told, by the first node that answers."""
        for node in self.random.sample(self.nodes, len(self.nodes)):
            try:
                call = http.client.HTTPConnection(node.ip, node.entry,
                                                  timeout=1)
                call.request("GET", f"/api/resolve?name={HOST}&zone=z")
                got = json.loads(call.getresponse().read())
                return got["addresses"]
            except (OSError, ValueError, KeyError, http.client.HTTPException):
                continue
        return []

    def call_once(self, number, address, team="t", kept=None):
        """`kept` is the number of the node that the caller keeps to."""
        kind = ("once", "again", "stream")[number % 3]
        suffix = (restricted_targets.SUFFIX
                  if team in restricted_targets.TEAMS else "")
        request = f"{team}{number:x}.{random.getrandbits(32):x}"
        ip, port = address.split(":")
        call = http.client.HTTPConnection(ip, int(port), timeout=5)
        headers = {"Host": HOST, "X-Request-Id": request,
                   "X-Request-Deadline-Ms": "4000",
                   "Authorization": f"Bearer {key_of(team)}"}
        if kind == "stream":
            headers["X-Token-Usage"] = f"{PROMPT},{MOST_OUT}"
        try:
            call.request("POST", f"/{kind}{suffix}/x", headers=headers,
                         body=request.ljust(50).encode())
            answer = call.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as failure:
            self.runs.deliver(team, getattr(failure, "partial", b""))
            self.outcomes["no answer"] += 1
            self.count_share(team, kept, False)
            return request, kind, None
        finally:
            call.close()
        if kind == "stream":
            self.runs.deliver(team, body)
        self.outcomes[answer.status] += 1
        self.count_share(team, kept, answer.status == 200)
        mark = answer.getheader("X-Server-Signature")
        if answer.status == 200:
            self.check_success(request, kind, mark, body)
        return request, kind, 0 if mark else answer.status

    def count_share(self, team, kept, served):
        # Restricted ones are refused for want of targets, each by its own.
        if team not in restricted_targets.TEAMS:
            self.shares.count(team, kept, served)

    def check_success(self, request, kind, mark, body):
        if mark not in self.runs.of[request]:
            self.note(f"{request}: success without a run of it")
        if kind == "stream":
            events = [f"id: {i}\ndata: {request}"
                      for i in range(1, MOST_OUT // PER_EVENT + 1)]
            whole = "\n\n".join(events) + "\n\n"
        else:
            whole = f"{request}:{mark}"
        if body.decode() != whole:
            self.note(f"{request}: not the whole answer: {body!r}")

    def kept_address(self, addresses):
        """Of the node that callers keep to, if they are told of it."""
        node = self.floods.node
        address = f"{self.nodes[node].ip}:{self.nodes[node].front}"
        return (address, node) if address in addresses else (None, None)

    def caller(self, lane, team):
        number, addresses, asked = lane, [], 0.0
        refused = []
        while not self.stop.is_set():
            if team == "u" and not self.floods.has_lane(lane):
                time.sleep(0.05)
                continue
            if time.time() - asked > 2 or not addresses:
                addresses, asked = self.addresses(), time.time()
            if not addresses:
                time.sleep(0.1)
                continue
            number += 100
            address, kept = None, None
            if team == "u":
                address, kept = self.kept_address(addresses)
            request, kind, status = self.call_once(
                number, address or random.choice(addresses), team, kept)
            if status == 503:
                refused.append((request, kind))
            if status is None and kept is not None:
                # Callers leave an address that failed them.
                addresses = [it for it in addresses if it != address]
            time.sleep(random.uniform(0.01, 0.08))
        time.sleep(1)  # What was refused must not run later either.
        for request, kind in refused:
            if self.runs.of.get(request):
                self.note(f"{request} ({kind}): called not run, and ran")

    def break_something(self):
        node = self.random.choice(self.nodes)
        what = self.random.choice(["kill", "pause", "term", "store", "targets",
                                   "config", "restore"])
        if what == "restore":
            self.restores.begin(self.random)
        elif node is self.restores.spared():
            return
        elif what in ("kill", "term"):
            node.signal(signal.SIGKILL if what == "kill" else signal.SIGTERM)
        elif what == "pause":
            node.signal(signal.SIGSTOP)
            threading.Timer(self.random.uniform(0.3, 2), self.wake,
                            [node, node.process]).start()
        elif what == "store":
            self.store.mode = self.random.choice(["down", "busy", "lossy"])
            threading.Timer(self.random.uniform(0.5, 3), self.mend_store
                            ).start()
        elif what == "targets":
            self.fault_share = self.random.choice([0.0, 0.1, 0.3])
        else:
            self.version += 1
            self.publish("config", "main", configuration(self.version))

    def wake(self, node, process):
        self.senders.stood_still[process.pid] = time.monotonic()
        node.signal(signal.SIGCONT)

    def mend_store(self):
        self.store.mode = "well"

    def restart_ended(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                code = node.process.returncode
                # A process that is told to leave before it has begun has
                # nothing to leave in order.
                allowed = {0, -signal.SIGKILL}
                if not node.has_begun():
                    allowed.add(-signal.SIGTERM)
                if code not in allowed:
                    self.note(f"n{node.number} ended with {code}")
                node.start()

    def check_end(self):
        for request, marks in self.runs.of.items():
            number = int(request[1:].split(".")[0], 16)
            if number % 3 == 0 and len(marks) > 1:
                self.note(f"{request}: may run once, ran {len(marks)} times")
        for node in self.nodes:
            with open(node.log.name, errors="replace") as log:
                failed = [it for it in log if '"name":"task_failed"' in it]
            if failed:
                self.note(f"n{node.number}: {failed[0].strip()}")
        for team, prepaid in PREPAID.items():
            tokens = self.runs.tokens(team)
            if tokens > prepaid:
                self.note(f"{tokens} tokens of {prepaid} prepaid by {team}")
        self.shares.check()

    def check_recovery(self):
        self.store.mode, self.fault_share = "well", 0.0
        for node in self.nodes:
            node.signal(signal.SIGCONT)
        deadline = time.time() + 15
        while time.time() < deadline:
            self.restart_ended()
            for address in self.addresses():
                number = 3 * random.randrange(10 ** 6) + 1
                before = self.outcomes[200]
                self.call_once(number, address)
                if self.outcomes[200] > before:
                    return
            time.sleep(0.2)
        self.note("no call was answered after the faults were over")

    def check_sound_parts(self):
        deadline = time.time() + 15
        while time.time() < deadline:
            if self.call_part(self.parts.prompt("50d")):
                return
            time.sleep(0.2)
        self.note("no call with the first part was answered after the storms")

    def run(self):
        for node in self.nodes:
            node.start()
        callers = [threading.Thread(target=self.caller, args=[i, "t"])
                   for i in range(8)]
        callers += [threading.Thread(target=self.caller, args=[i, "u"])
                    for i in range(Floods.FLOOD_LANES)]
        callers += [threading.Thread(target=self.caller, args=[i, it])
                    for i, it in enumerate("vvvvvvww")]
        callers += [threading.Thread(
            target=run, args=[random.Random(self.plan_seed + n), self.stop])
                    for n, run in ((2, self.restricted.evacuate_some),
                                   (3, self.restricted.cool_some),
                                   (4, self.unruly.run))]
        callers.append(threading.Thread(target=self.floods.run))
        callers.append(threading.Thread(target=self.speak))
        callers.append(threading.Thread(target=self.storms))
        for it in callers:
            it.start()
        end = time.time() + self.seconds
        time.sleep(min(3, self.seconds / 4))
        while time.time() < end:
            self.break_something()
            for _ in range(self.random.randrange(2, 8)):
                time.sleep(0.1)
                self.restart_ended()
        self.stop.set()
        for it in callers:
            it.join()
        self.check_recovery()
        self.check_sound_parts()
        self.parts.check()
        for node in self.nodes:
            node.end()
        self.check_end()
        for it in self.closing:
            it.shutdown()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--binary", default="build/fennelladder")
    args = parser.parse_args()
    soak = Soak(args)
    try:
        soak.run()
    finally:
        for node in soak.nodes:
            node.end()
    answered = soak.outcomes[200]
    print(f"seed {args.seed}: {sum(soak.outcomes.values())} calls, "
          f"{dict(soak.outcomes)}, {soak.runs.tokens('t')} of "
          f"{PREPAID['t']} tokens, {soak.store.era - 1} restores, "
          f"{soak.parts.summary}, "
          f"{soak.restricted.summary}, {soak.unruly.summary}, "
          f"served {soak.shares.summary}, "
          f"logs in {soak.folder}")
    if answered == 0:
        soak.note("nothing was answered")
    for text in soak.found:
        print("  " + text)
    return 1 if soak.found else 0


if __name__ == "__main__":
    sys.exit(main())
