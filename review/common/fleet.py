"""Nodes of the project as processes on loopback addresses, and their settings.
"""

import http.client
import os
import signal
import socket
import subprocess
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "h.example"
CONTACT_S = 3.0

SETTINGS = """\
nodeName={name}
role=front
machineClass=front
serves=front,directory,control
ip={ip}
zone=z
region=r
zones.z=r
listen.front={ip}:{front}
listen.readyAddress={ip}:{ready}
listen.directory={ip}:{entry}
listen.control={ip}:{control}
internalPortRange={internal},{last_internal}
seedNodes={seeds}
bootstrap={bootstrap}
limits.cpuShare=0.25
limits.cpuCores=1
limits.memoryMb=110
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
faultTolerance.machines=2
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainTimeoutMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.revokeWhenPartitioned=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.budgetSlack=56
bounds.recoveryS=12
bounds.passMs=120
bounds.reuseWindowS=9.3
bounds.settle_ms=1500
bounds.ttl_max_s=5
platform.address={store}
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


def free_ports(count, ip="127.0.0.1"):
    held = [socket.socket() for _ in range(count)]
    for it in held:
        it.bind((ip, 0))
    ports = [it.getsockname()[1] for it in held]
    for it in held:
        it.close()
    return ports


def run_words():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["front"]["run"].split()


class Node:
    """One process of the deploy file's role."""

    def __init__(self, name, ip, ports, seeds, store, folder):
        self.name, self.ip, self.ports = name, ip, ports
        self.seeds, self.store = seeds, store
        self.path = os.path.join(folder, name + ".conf")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process, self.started = None, None
        # Spans in which a process ran, by the monotonic clock.
        self.lives = []

    @property
    def address(self):
        return self.ip, self.ports["front"]

    def start(self, bootstrap):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(
                name=self.name, ip=self.ip, seeds=self.seeds,
                store=self.store, bootstrap=str(bootstrap).lower(),
                **self.ports))
        words = run_words()
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG")
                       if it in os.environ}
        environment["FENNELLADDER_SETTINGS"] = self.path
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=self.log,
            stderr=self.log)
        self.started = time.monotonic()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        if self.started is not None:
            self.lives.append((self.started, time.monotonic()))
            self.started = None

    def ran_throughout(self, begin, end):
        lives = self.lives + ([(self.started, float("inf"))]
                              if self.started is not None else [])
        return any(a <= begin and end <= b for a, b in lives)

    def in_touch(self, at):
        """Whether it ran for the whole contactMs before."""
        return self.ran_throughout(at - CONTACT_S, at)

    def is_ready(self):
        call = http.client.HTTPConnection(self.ip, self.ports["ready"],
                                          timeout=1)
        try:
            call.request("GET", "/api/ready")
            return call.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            call.close()


class Fleet:
    def __init__(self, count, store, folder, net):
        """`net` is a number from 1 to 250 that makes the addresses unique."""
        ips = ["127.77.%d.%d" % (net, i + 1) for i in range(count)]
        front, ready, entry, control, internal = free_ports(5)
        ports = {"front": front, "ready": ready, "entry": entry,
                 "control": control, "internal": internal,
                 "last_internal": internal + 15}
        seeds = ",".join("%s:%d" % (ip, control) for ip in ips[:3])
        self.nodes = [Node("front-z-%d" % (i + 1), ip, ports, seeds, store,
                           folder)
                      for i, ip in enumerate(ips)]

    def start(self, bootstrap):
        for it in self.nodes:
            it.start(bootstrap)

    def kill(self):
        """At the same moment, as far as possible."""
        for it in self.nodes:
            it.signal(signal.SIGKILL)
        for it in self.nodes:
            it.kill()

    def wait_until_ready(self, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(it.is_ready() for it in self.nodes):
                return True
            time.sleep(0.05)
        return False
