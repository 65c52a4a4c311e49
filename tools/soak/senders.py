"""Which node's process is at the other end of a connection.

    senders = Senders(processes)         # returns the ids of those that run
    senders.find(client_address, server_address)

A look-up costs some tenths of a millisecond: the kernel is asked for the one
socket (sock_diag(7)). Reading its table of all sockets takes some fifty
milliseconds when thousands of closed ones wait there, as after a run of tests,
and is done only if the kernel doesn't say. Thread safe.
"""

import collections
import os
import socket
import struct

SOCK_DIAG = 4  # Netlink's family of protocols for it.
SOCK_DIAG_BY_FAMILY, REQUEST = 20, 1
ANY_STATE, ANY_COOKIE = 0xffffffff, b"\xff" * 8
HEADER, INODE_AT = struct.Struct("=IHHII"), 16 + 68


def address_bytes(address):
    return socket.inet_aton(address).ljust(16, b"\0")


def inode_by_diag(client, server):
    """None if the kernel knows no such socket, or doesn't answer."""
    ends = struct.pack("!HH16s16sI8s", client[1], server[1],
                       address_bytes(client[0]), address_bytes(server[0]), 0,
                       ANY_COOKIE)
    question = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                           ANY_STATE) + ends
    header = HEADER.pack(HEADER.size + len(question), SOCK_DIAG_BY_FAMILY,
                         REQUEST, 1, 0)
    try:
        with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                           SOCK_DIAG) as kernel:
            kernel.settimeout(1)
            kernel.send(header + question)
            answer = kernel.recv(4096)
    except OSError:
        return None
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return None
    return struct.unpack_from("=I", answer, INODE_AT)[0]


def inode_by_table(client, server):
    wanted = client[1], server[1]
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in list(table)[1:]:
            part = line.split()
            if tuple(int(it.split(":")[1], 16) for it in part[1:3]) == wanted:
                return int(part[9])
    return None


class Senders:
    def __init__(self, processes):
        self.processes = processes
        self.stood_still = collections.defaultdict(float)  # Id: until when.

    def find(self, client, server):
        """The process whose socket has these two addresses, or None."""
        inode = (inode_by_diag(client, server)
                 or inode_by_table(client, server))
        for process in self.processes():
            folder = f"/proc/{process}/fd"
            try:
                for name in os.listdir(folder):
                    if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                        return process
            except OSError:
                continue  # It ended, or closed the descriptor.
        return None
