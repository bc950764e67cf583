"""No engine memory stays held for programs that have ended, according to the engine's own counters."""

import time
import unittest

import stack

RELEASE_TIMEOUT_S = 2
# Long enough that a hold ends only through the actions of a test.
LONG_HOLD = ("--hold-limit", "60000", "--engine-cache-tokens", "100000000")
SHORT_HOLD_MS = 1500
LONG_INPUT = "which flavour suits a baby of six months who does not like carrots? " * 20


class EngineMemoryTest(unittest.TestCase):
    """Programs that end, are abandoned, or lose their owner, their runner process or a release.

    The engine's cache events are delayed by 1.5 s and every third one is lost.
    """

    def setUp(self):
        self.start(LONG_HOLD)

    def tearDown(self):
        self.stack.close()

    def start(self, runner_flags):
        """Starts a deployment with one engine."""
        self.stack = stack.small_stack(engines=1, runner_flags=runner_flags,
                                       engine_flags=("--events-lag", "1500", "--events-gap", "3"))
        self.entries = list(self.stack.entries.values())

    def program_with_hold(self, name, entry=0):
        """Returns the caller of a program whose prefix is held."""
        caller = stack.Caller(self.entries[entry], name)
        self.assertEqual(caller.open()[0], 200)
        status, reply = caller.model(LONG_INPUT)
        self.assertEqual((status, reply["outcome"]), (200, "completed"), reply)
        stack.wait_until(lambda: name in self.stack.held_tokens("engine-0"), "the hold of " + name)
        return caller

    def assert_released(self, name, timeout=RELEASE_TIMEOUT_S):
        """Checks that the hold of a program ends within the time and doesn't come back."""
        stack.wait_until(lambda: name not in self.stack.held_tokens("engine-0"),
                         f"the end of the hold of {name}", timeout)
        end = time.monotonic() + RELEASE_TIMEOUT_S
        while time.monotonic() < end:
            self.assertNotIn(name, self.stack.held_tokens("engine-0"))
            time.sleep(0.05)

    def test_prefix_is_held_and_renewed_between_turns(self):
        caller = self.program_with_hold("memory-1")
        first = self.stack.held_tokens("engine-0")["memory-1"]
        end = time.monotonic() + 2 * RELEASE_TIMEOUT_S
        while time.monotonic() < end:
            self.assertIn("memory-1", self.stack.held_tokens("engine-0"))
            time.sleep(0.05)
        self.assertEqual(caller.model(LONG_INPUT)[1]["outcome"], "completed")
        stack.wait_until(lambda: self.stack.held_tokens("engine-0").get("memory-1", 0) > first, "the longer hold")

    def test_end_of_program_lets_go(self):
        caller = self.program_with_hold("memory-2")
        self.assertTrue(caller.end()[1]["ended"])
        self.assert_released("memory-2")

    def test_abandoned_program_is_let_go(self):
        self.stack.close()
        self.start(("--hold-limit", str(SHORT_HOLD_MS)))
        self.program_with_hold("memory-3")
        self.assert_released("memory-3", SHORT_HOLD_MS / 1000 + RELEASE_TIMEOUT_S)

    def test_killed_owner_lets_go(self):
        for number in range(8):
            self.program_with_hold(f"memory-owner-{number}", number % 2)
        for name in list(self.stack.entries):
            self.stack.kill(name)
        for number in range(8):
            self.assert_released(f"memory-owner-{number}")

    def test_killed_runner_process_lets_go(self):
        self.program_with_hold("memory-4")
        self.stack.kill("runner-0")
        self.assert_released("memory-4")

    def test_lost_release_lets_go(self):
        caller = self.program_with_hold("memory-5")
        self.stack.pause("runner-0")
        self.assertTrue(caller.end()[1]["ended"])
        stack.wait_until(lambda: "memory-5" not in self.stack.held_tokens("engine-0"), "the lease's end",
                         RELEASE_TIMEOUT_S)
        self.stack.resume("runner-0")
        self.assert_released("memory-5")

    def test_end_while_a_turn_is_under_way_lets_go(self):
        caller = self.program_with_hold("memory-6")
        before = len(self.stack.requests("engine-0"))
        turn = stack.Background(lambda: caller.model(LONG_INPUT + " answer=200"))
        stack.wait_until(lambda: len(self.stack.requests("engine-0")) > before, "the second turn")
        stack.Caller(caller.entry, "memory-6").end()
        turn.join()
        self.assert_released("memory-6")


if __name__ == "__main__":
    unittest.main()
