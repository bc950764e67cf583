"""Calls while the platform's key-value service is down, slow or loses responses."""

import time
import unittest

import stack
from test_takeover import until_served, wait_for_owners

FLAGS = ("--lease-time", "1000", "--flush-interval", "100")


class PlatformOutageTest(unittest.TestCase):
    """Each test starts its own deployment, since it injects faults into the key-value service."""

    def setUp(self):
        self.stack = stack.small_stack(entry_flags=FLAGS)
        self.addCleanup(self.stack.close)
        self.entries = list(self.stack.entries.values())

    def open_program(self, name, entry=0):
        """Returns a caller whose program has made its first call."""
        caller = stack.Caller(self.entries[entry], name)
        until_served(caller.open)
        self.assertEqual(until_served(lambda: caller.model("hello"))[0], 200)
        return caller

    def charges(self, caller):
        """Returns how many charges of a program took effect."""
        return len([line for line in self.stack.effects("orders") if line.startswith(f"charge {caller.program} ")])

    def test_model_calls_go_on_and_charges_are_refused_during_an_outage(self):
        wait_for_owners(self.stack, 2)
        callers = [self.open_program(f"order-{i}", i % 2) for i in range(4)]
        self.stack.faults(outage=True)
        for caller in callers:
            # The outage lasts longer than the lease; no takeover may follow it.
            for _ in range(3):
                status, reply = caller.model("go on")
                self.assertEqual((status, reply["outcome"], reply["committed"]), (200, "completed", False))
                time.sleep(0.2)
            status, reply = caller.tool("12 pouches")
            self.assertEqual((status, reply["outcome"]), (503, "notRun"))
            self.assertGreater(reply["retryAfterMs"], 0)
            self.assertEqual(self.charges(caller), 0)
        self.stack.faults(outage=False)
        for caller in callers:
            status, reply = until_served(lambda one=caller: one.tool("12 pouches"))
            self.assertEqual((status, reply["outcome"]), (200, "completed"))
            self.assertEqual(self.charges(caller), 1)
            status, show = caller.show()
            self.assertEqual((status, show["history"], show["nextCall"]), (200, caller.history, 6))
            url = f"{caller.entry}/v1/programs/{caller.program}/calls/4"
            stack.wait_until(lambda one=url: '"committed":true' in stack.send_request("GET", one)[1], "the commit")

    def test_lost_answers_neither_double_nor_lose_a_charge(self):
        caller = self.open_program("order-1")
        for i in range(6):
            self.stack.faults(loseAnswers=1 + i % 3)
            status, reply = until_served(lambda: caller.tool("12 pouches"))
            self.assertEqual((status, reply["outcome"]), (200, "completed"))
            self.assertEqual(self.charges(caller), i + 1)

    def test_a_slow_service_slows_charges_only(self):
        caller = self.open_program("order-1")
        self.stack.faults(delayMs=300)
        self.assertEqual(until_served(lambda: caller.model("go on"))[0], 200)
        self.assertEqual(until_served(lambda: caller.tool("12 pouches"))[0], 200)
        self.assertEqual(self.charges(caller), 1)

    def test_an_entry_killed_in_an_outage_loses_no_stored_turn_and_no_charge(self):
        callers = [self.open_program(f"order-{i}", 1) for i in range(6)]
        for caller in callers:
            self.assertEqual(until_served(lambda one=caller: one.tool("12 pouches"))[0], 200)
        time.sleep(0.5)
        self.stack.faults(outage=True)
        self.stack.kill("entry-0")
        time.sleep(1.5)
        self.stack.faults(outage=False)
        for caller in callers:
            status, reply = until_served(lambda one=caller: one.tool("6 pouches"))
            self.assertEqual((status, reply["outcome"]), (200, "completed"))
            self.assertEqual(caller.show()[1]["nextCall"], 4)
            self.assertEqual(self.charges(caller), 2)


if __name__ == "__main__":
    unittest.main()
