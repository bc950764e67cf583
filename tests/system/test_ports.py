"""Ports of test runs that go on at once."""

import os
import subprocess
import sys
import unittest

TAKE_PORTS = """
import itertools, sys
sys.path.insert(0, sys.argv[1])
import stack
stack._ports = itertools.count(5000)
print(*[stack.free_port() for _ in range(50)], flush=True)
sys.stdin.read()
"""


class PortsTest(unittest.TestCase):
    """Test runs whose ranges of ports overlap."""

    # Guards against a server that can't listen because another test run was given the same port before either used it.
    def test_two_runs_are_never_given_one_port(self):
        """Two runs that start at the same number are given different ports."""
        folder = os.path.dirname(os.path.abspath(__file__))
        runs = [subprocess.Popen([sys.executable, "-c", TAKE_PORTS, folder], stdin=subprocess.PIPE,
                                 stdout=subprocess.PIPE, text=True) for _ in range(2)]
        taken = [set(run.stdout.readline().split()) for run in runs]
        for run in runs:
            run.communicate()
        self.assertEqual([50, 50], [len(ports) for ports in taken])
        self.assertFalse(taken[0] & taken[1])


if __name__ == "__main__":
    unittest.main()
