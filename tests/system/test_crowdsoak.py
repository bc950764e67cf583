"""A short soak of crowds, restarts and changes; crowdsoak.py runs longer ones by hand."""

import unittest

import crowdsoak

SEEDS = (1, 2)
SECONDS = 20


class CrowdSoakTest(unittest.TestCase):
    """Some seeds, the same in each run."""

    def test_processes_and_promises_hold_while_everything_overlaps(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(crowdsoak.soak(seed, SECONDS)[0], [])


if __name__ == "__main__":
    unittest.main()
