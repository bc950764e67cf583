"""A short run of util/prove, whose verdict depends on the promises alone, not on timing."""

import subprocess
import sys
import os
import unittest

import stack

PROVE = os.path.join(stack.ROOT, "util", "prove")
TIMEOUT_S = 300


class ProveTest(unittest.TestCase):
    """Every promise holds in a short run with all kinds of faults."""

    def run_prove(self, *flags):
        """Runs util/prove; returns its exit code and what it printed."""
        result = subprocess.run([sys.executable, PROVE, *flags], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                                text=True, timeout=TIMEOUT_S, check=False)
        return result.returncode, result.stdout

    def test_no_promise_is_broken_under_faults(self):
        code, output = self.run_prove("--seed", "20261203", "--seconds", "10")
        self.assertEqual(code, 0, output)

    def test_unknown_fault_is_refused(self):
        code, output = self.run_prove("--faults", "flood")
        self.assertEqual(code, 2)
        self.assertIn("flood", output)


if __name__ == "__main__":
    unittest.main()
