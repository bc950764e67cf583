"""A request that crashes its upstream causes at most two crashes, however often it is sent."""

import concurrent.futures
import unittest

import stack

CRASHING = "CRASH-ENGINE and tell me a story"


class CrashQuarantineTest(unittest.TestCase):
    """Counts the engines that a request has crashed."""

    def setUp(self):
        self.stack = stack.small_stack(entries=2, engines=4)
        self.addCleanup(self.stack.close)
        self.entries = list(self.stack.entries.values())

    def crashes(self):
        """Returns how many engines have ended."""
        return sum(self.stack.processes[name].popen.poll() is not None for name in self.stack.engines)

    def send(self, program, entry, text=CRASHING, parent=None):
        """Makes the first call of a new program; returns its outcome."""
        caller = stack.Caller(self.entries[entry], program, parent=parent)
        self.assertEqual(caller.open()[0], 200)
        return caller.model(text)[1]["outcome"]

    def test_second_crash_is_the_last_and_the_answer_is_final(self):
        self.assertEqual(self.send("order-1", 0), "failed")
        self.assertEqual(self.crashes(), 2)

    def test_sent_again_by_other_programs_at_both_entries_it_crashes_no_more(self):
        self.send("order-1", 0)
        outcomes = [self.send(f"order-{i}", i % 2) for i in range(2, 10)]
        self.assertEqual(outcomes, ["notRun"] * 8)
        self.assertEqual(self.crashes(), 2)

    def test_next_call_of_its_program_does_not_crash_either(self):
        caller = stack.Caller(self.entries[0], "order-1")
        caller.open()
        self.assertEqual(caller.model(CRASHING)[1]["outcome"], "failed")
        status, reply = caller.model("go on")
        self.assertEqual((status, reply["outcome"]), (503, "notRun"))
        self.assertNotIn("retryAfterMs", reply)
        self.assertEqual(self.crashes(), 2)

    def test_calls_beside_a_crashing_one_complete(self):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            others = [pool.submit(self.send, f"other-{i}", i % 2, f"hello {i} answer=100") for i in range(7)]
            self.assertEqual(pool.submit(self.send, "order-1", 0).result(), "failed")
            self.assertEqual([other.result() for other in others], ["completed"] * 7)
        self.assertEqual(self.crashes(), 2)

    def test_sent_at_once_by_programs_of_one_owner_it_crashes_two_at_most(self):
        self.assertEqual(stack.Caller(self.entries[0], "order").open()[0], 200)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            outcomes = list(pool.map(lambda i: self.send(f"order.{i}", 0, parent="order"), range(4)))
        self.assertTrue(set(outcomes) <= {"failed", "notRun"}, outcomes)
        self.assertLessEqual(self.crashes(), 2)

    def test_sent_at_once_by_programs_of_two_owners_it_crashes_two_at_most(self):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda i: self.send(f"order-{i}", i % 2), range(8)))
        self.assertLessEqual(self.crashes(), 2)


if __name__ == "__main__":
    unittest.main()
