"""Runners that die, freeze, leave, drain and return."""

import concurrent.futures
import unittest

import stack

STALL_FLAGS = ("--stall-limit", "500")


class MembershipTest(unittest.TestCase):
    """Calls avoid runners that can't serve them."""

    def setUp(self):
        self.stack = stack.small_stack(entries=1, engines=3, entry_flags=STALL_FLAGS)
        self.addCleanup(self.stack.close)
        self.entry = self.stack.entries["entry-0"]
        self.count = 0

    def caller(self):
        """Returns a caller whose new program is open."""
        self.count += 1
        caller = stack.Caller(self.entry, f"order-{self.count}")
        self.assertEqual(caller.open()[0], 200)
        return caller

    def complete_calls(self, count):
        """Makes one call in each of several new programs concurrently and checks that all complete."""
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            replies = list(pool.map(lambda caller: caller.model("hello"), [self.caller() for _ in range(count)]))
        self.assertEqual([reply["outcome"] for _, reply in replies], ["completed"] * count)

    def requests(self, name):
        """Returns how many requests reached an engine."""
        with open(self.stack.path(name + ".requests"), encoding="utf-8") as lines:
            return len(lines.read().splitlines())

    def serving_engine(self, caller):
        """Returns the index of the engine that served a caller's program."""
        for i in range(3):
            with open(self.stack.path(f"engine-{i}.requests"), encoding="utf-8") as lines:
                if any(line.split()[0] == caller.program for line in lines):
                    return i
        return self.fail(f"no engine had a call of {caller.program}")

    def test_killed_runner_and_engine_are_left_at_once_though_still_listed(self):
        caller = self.caller()
        self.assertEqual(caller.model("hello")[1]["outcome"], "completed")
        serving = self.serving_engine(caller)
        self.stack.kill(f"runner-{serving}")
        self.stack.kill(f"engine-{serving}")
        self.assertEqual(caller.model("again")[1]["outcome"], "completed")
        self.complete_calls(8)

    def test_killed_engine_behind_a_live_runner_takes_no_more_calls(self):
        self.stack.kill("engine-0")
        self.complete_calls(8)
        self.complete_calls(8)

    def test_frozen_engine_loses_its_idempotent_calls_to_others(self):
        caller = self.caller()
        self.assertEqual(caller.model("hello")[1]["outcome"], "completed")
        self.stack.pause(f"engine-{self.serving_engine(caller)}")
        self.assertEqual(caller.model("again")[1]["outcome"], "completed")

    def test_stream_that_stands_still_goes_on_elsewhere_without_a_gap(self):
        expected = self.caller().model("long answer=300")[1]["answer"]
        caller = self.caller()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            running = pool.submit(caller.model, "long answer=300")
            stack.wait_until(lambda: any(self.has_request(i, caller.program) for i in range(3)), "the call's start")
            serving = self.serving_engine(caller)
            self.stack.pause(f"runner-{serving}")
            reply = running.result()[1]
        self.assertEqual(reply["outcome"], "completed")
        self.assertEqual(reply["answer"], expected)

    def has_request(self, index, program):
        """Returns whether a request of a program reached an engine."""
        with open(self.stack.path(f"engine-{index}.requests"), encoding="utf-8") as lines:
            return any(line.split()[0] == program for line in lines)

    def test_cut_off_zone_is_left(self):
        for name in ("runner-0", "engine-0", "runner-2", "engine-2"):
            self.stack.pause(name)
        self.complete_calls(6)
        before = self.requests("engine-1")
        self.complete_calls(4)
        self.assertGreaterEqual(self.requests("engine-1"), before + 4)

    def test_frozen_upstream_of_a_non_idempotent_call_is_not_tried_twice(self):
        self.stack.pause("orders")
        caller = self.caller()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            running = pool.submit(caller.tool, "12 pouches")
            self.complete_calls(4)
            self.stack.resume("orders")
            self.assertEqual(running.result()[1]["outcome"], "completed")
        self.assertEqual(len(self.stack.effects("orders")), 1)

    def test_leaving_runner_gets_no_new_work_and_a_returned_one_does(self):
        self.stack.publish(runner_0={"leaving": True}, runner_1={"leaving": True})
        stack.wait_until(self.engine_2_receives_call, "calls to go to engine-2 only")
        before = [self.requests("engine-0"), self.requests("engine-1")]
        self.complete_calls(6)
        self.assertEqual([self.requests("engine-0"), self.requests("engine-1")], before)
        self.stack.publish(runner_0={"leaving": False}, runner_1={"leaving": False}, runner_2={"leaving": True})
        for engine in ("engine-0", "engine-1"):
            stack.wait_until(lambda engine=engine: self.receives_one_of_two_calls(engine),
                             f"calls to go to the returned runner of {engine}")

    def engine_2_receives_call(self):
        """Makes a call and returns whether it reached engine-2."""
        return self.receives_call("engine-2")

    def receives_call(self, engine):
        """Makes a call of a new program and returns whether it reached an engine."""
        before = self.requests(engine)
        self.complete_calls(1)
        return self.requests(engine) > before

    def receives_one_of_two_calls(self, engine):
        """Makes two calls, since equal runners take turns, and returns whether one reached an engine."""
        before = self.requests(engine)
        self.complete_calls(1)
        self.complete_calls(1)
        return self.requests(engine) > before

    def test_restarted_runner_takes_calls_again(self):
        self.stack.publish(runner_1={"leaving": True}, runner_2={"leaving": True})
        stack.wait_until(lambda: self.receives_call("engine-0"), "calls to go to engine-0")
        self.assertEqual(self.stack.terminate("runner-0"), 0)
        status, reply = self.caller().model("hello")
        self.assertEqual((status, reply["outcome"]), (503, "notRun"))
        self.assertGreater(reply["retryAfterMs"], 0)
        self.stack.processes["runner-0"].start()
        stack.wait_until(lambda: self.caller().model("hello")[1]["outcome"] == "completed", "runner-0 to be used again")


if __name__ == "__main__":
    unittest.main()
