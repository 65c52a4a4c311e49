"""Starts nodes as separate processes with the command of the deploy file.

All addresses are loopback addresses. Each node has an address of its own, so
that all nodes can use the same ports, as machines do.
"""

import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

import platform_store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["z1", "z2", "z3"]


def run_command():
    """The words of `run` of the role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise SystemExit(2)


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


def can_bind(ip, ports):
    for port in ports:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as it:
                try:
                    it.bind((ip, port))
                except OSError:
                    return False
    return True


class Fleet:
    def __init__(self, nodes, extra_settings=(), seeds=None):
        self.net = "127.%d.%d" % (random.randint(64, 250), random.randint(1, 250))
        self.store = platform_store.Store()
        self.store_address = platform_store.serve(self.store, self.net + ".250")
        self.dir = tempfile.mkdtemp(prefix="fl-case-")
        self.ips = ["%s.%d" % (self.net, i + 1) for i in range(nodes)]
        self.ports = self._choose_ports()
        self.extra = list(extra_settings)
        self.seeds = seeds  # Addresses of hosts, if not those of the first nodes.
        self.processes = [None] * nodes
        self.starts = [0] * nodes
        self.ended = []  # (node, exit status) of processes that ended themselves

    def _choose_ports(self):
        for _ in range(50):
            first = random.randint(20000, 50000)
            ports = list(range(first, first + 20)) + [9464]
            if all(can_bind(ip, ports) for ip in self.ips):
                return first
        raise SystemExit(2)

    def front(self, i):
        return self.ips[i], self.ports

    def settings(self, i):
        p = self.ports
        ip = self.ips[i]
        zone = ZONES[i % len(ZONES)]
        seeds = ",".join("%s:%d" % (it, p + 2) for it in (self.seeds or self.ips[:3]))
        lines = [
            "nodeName=front-%s-%d" % (zone, i),
            "role=front", "machineClass=front", "serves=front,control,directory",
            "ip=" + ip, "zone=" + zone, "region=r1",
            "zones.z1=r1", "zones.z2=r1", "zones.z3=r1",
            "listen.front=%s:%d" % (ip, p),
            "listen.readyAddress=%s:%d" % (ip, p + 1),
            "listen.control=%s:%d" % (ip, p + 2),
            "listen.directory=%s:%d" % (ip, p + 3),
            "internalPortRange=%d,%d" % (p + 4, p + 19),
            "seedNodes=" + seeds,
            "bootstrap=" + ("true" if self.starts[i] == 0 else "false"),
            "lossCounts=false", "limits.cpuShare=0.25", "limits.cpuCores=1",
            "limits.memoryMb=110", "limits.maxFds=4100", "limits.linkMbps=1000.0",
            "limits.diskMb=0", "discovery=platform", "entry=directory",
            "heartbeatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "faultTolerance.machines=2", "faultTolerance.zones=0",
            "faultTolerance.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2",
            "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
            "bounds.drainTimeoutMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200",
            "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
            "bounds.maxSkewMs=5000", "bounds.revokeWhenPartitioned=false",
            "bounds.revokeMs=5000", "bounds.retryBudgetRatio=0.2",
            "bounds.retryWindowS=10", "bounds.budgetSlack=56", "bounds.recoveryS=12",
            "bounds.passMs=120", "bounds.reuseWindowS=9.3", "bounds.settle_ms=1500",
            "bounds.ttl_max_s=5", "platform.address=" + self.store_address,
            "platform.form=objects", "platform.writesPerS=400",
            "platform.readsPerS=2000", "platform.historyS=20",
            "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
        ] + self.extra
        return "\n".join(lines) + "\n"

    def start(self, i):
        path = os.path.join(self.dir, "settings-%d.conf" % i)
        with open(path, "w") as file:
            file.write(self.settings(i))
        self.starts[i] += 1
        log = open(os.path.join(self.dir, "node-%d.log" % i), "ab")
        env = {"FENNELLADDER_SETTINGS": path, "PATH": os.environ["PATH"],
               "HOME": self.dir, "LANG": "C"}
        self.processes[i] = subprocess.Popen(run_command(), cwd=ROOT, env=env,
                                             stdout=log, stderr=log)
        log.close()

    def start_all(self):
        for i in range(len(self.processes)):
            self.start(i)

    def is_ready(self, i):
        try:
            url = "http://%s:%d/api/ready" % (self.ips[i], self.ports + 1)
            with urllib.request.urlopen(url, timeout=1) as got:
                return got.status == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.is_ready(i) for i in range(len(self.ips))):
                return True
            time.sleep(0.1)
        return False

    def kill(self, i):
        """SIGKILL to a process that this fleet started."""
        it = self.processes[i]
        if it.poll() is None:
            it.kill()
        it.wait()

    def signal(self, i, number):
        self.processes[i].send_signal(number)

    def exit_status(self, i):
        """Of a process that has ended; None while it runs."""
        return self.processes[i].poll()

    def stop_all(self):
        for it in self.processes:
            if it is not None and it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
                it.wait()

    def log(self, i):
        with open(os.path.join(self.dir, "node-%d.log" % i), errors="replace") as it:
            return it.read()


def finish(fleet, record_path, lines, broken):
    """Ends all processes, writes the record and exits with the verdict."""
    fleet.stop_all()
    with open(record_path, "w") as file:
        file.write("\n".join(lines) + "\n")
        file.write("verdict: %s\n" % ("broken" if broken else "held"))
    print(lines[-1] if lines else "")
    print("broken" if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
