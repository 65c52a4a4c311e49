"""Tests of senders.py: python3 tools/soak/senders_test.py"""

import os
import socket
import unittest

import senders


class SendersTest(unittest.TestCase):
    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.client = socket.create_connection(self.server.getsockname())
        self.accepted, self.ends = self.server.accept()
        for it in (self.server, self.client, self.accepted):
            self.addCleanup(it.close)

    def find(self, processes):
        return senders.Senders(lambda: processes).find(
            self.ends, self.server.getsockname())

    def test_the_process_that_connected_is_found(self):
        other = os.getppid()
        self.assertEqual(os.getpid(), self.find([other, os.getpid()]))
        self.assertIsNone(self.find([other]))
        self.assertIsNone(self.find([]))

    def test_a_connection_that_was_closed_has_no_sender(self):
        self.client.close()
        self.accepted.close()
        self.assertIsNone(self.find([os.getpid()]))

    # Guards against a kernel that doesn't say: then nothing would be judged.
    def test_both_ways_name_the_same_socket(self):
        inode = os.fstat(self.client.fileno()).st_ino
        server = self.server.getsockname()
        self.assertEqual(inode, senders.inode_by_table(self.ends, server))
        self.assertIn(senders.inode_by_diag(self.ends, server), (inode, None))


if __name__ == "__main__":
    unittest.main()
