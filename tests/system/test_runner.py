"""Runner processes with calls that hang, crash their upstream, or are sent twice."""

import json
import time
import unittest

import stack

HANG_MS = 1500
TOOL_TIMEOUT_MS = 300


class HungToolTest(unittest.TestCase):
    """Tools that don't respond within their timeout."""

    @classmethod
    def setUpClass(cls):
        cls.stack = stack.small_stack(engines=1, runner_flags=("--tool-timeouts",
                                                               f"charge={TOOL_TIMEOUT_MS},search={TOOL_TIMEOUT_MS}"))
        cls.entries = list(cls.stack.entries.values())

    @classmethod
    def tearDownClass(cls):
        cls.stack.close()

    def test_hung_charge_is_unknown_and_takes_effect_once(self):
        caller = stack.Caller(self.entries[0], "hung-1")
        caller.open()
        _, reply = caller.tool(f"12 pouches hang={HANG_MS}", number=1)
        self.assertEqual(reply["outcome"], "unknown")
        # The response arrives at the timeout, before the effect.
        self.assertEqual(self.stack.effects("orders").count("charge hung-1 1"), 0)
        stack.wait_until(lambda: self.stack.effects("orders").count("charge hung-1 1") == 1, "the late effect")
        again = stack.Caller(self.entries[1], "hung-1")
        _, reply = again.tool(f"12 pouches hang={HANG_MS}", number=1)
        self.assertNotEqual(reply["outcome"], "notRun")
        time.sleep(2 * HANG_MS / 1000)
        self.assertEqual(self.stack.effects("orders").count("charge hung-1 1"), 1)

    def test_hung_search_ends_at_its_limit(self):
        caller = stack.Caller(self.entries[0], "hung-2")
        caller.open()
        _, reply = caller.tool(f"carrots hang={HANG_MS}", tool="search", idempotent=True)
        self.assertNotIn(reply["outcome"], ("notRun", "completed"))
        self.assertEqual(self.stack.effects("orders").count("search hung-2 1"), 0)


class CrashIsolationTest(unittest.TestCase):
    """A request that crashes the engine that runs it."""

    def setUp(self):
        self.stack = stack.small_stack(entries=1, engines=1)
        self.entry = list(self.stack.entries.values())[0]

    def tearDown(self):
        self.stack.close()

    def send_first_call(self, name, text):
        """Opens a program and makes its first call; returns the reply."""
        caller = stack.Caller(self.entry, name)
        caller.open()
        return caller.model(text)[1]

    def crashes(self):
        """Returns how often the crashing request reached the engine."""
        return sum(line.startswith("crash-") for line in self.stack.requests("engine-0"))

    def restart_engine(self):
        """Restarts the crashed engine."""
        self.stack.restart("engine-0")
        stack.wait_until(lambda: stack.is_responding(self.stack.engines["engine-0"] + "/v1/account"), "the engine")

    def test_second_crash_quarantines_the_request(self):
        crashing = "CRASH-ENGINE please"
        reply = self.send_first_call("crash-1", crashing)
        self.assertNotEqual(reply["outcome"], "notRun", reply)
        self.restart_engine()
        self.assertEqual(self.send_first_call("crash-2", crashing)["outcome"], "failed")
        self.restart_engine()
        for number in range(3, 8):
            self.assertEqual(self.send_first_call(f"crash-{number}", crashing)["outcome"], "notRun")
        self.assertEqual(self.crashes(), 2)
        self.assertEqual(self.send_first_call("innocent-1", "a carrot")["outcome"], "completed")

    def test_crash_on_a_connection_in_use_is_one_crash_and_never_not_run(self):
        self.assertEqual(self.send_first_call("innocent-2", "a carrot")["outcome"], "completed")
        reply = self.send_first_call("crash-1", "CRASH-ENGINE after others")
        self.assertNotEqual(reply["outcome"], "notRun", reply)
        self.assertEqual(self.crashes(), 1)

    def test_calls_that_ran_beside_the_crash_complete_later(self):
        names = [f"beside-{i}" for i in range(4)]
        before = len(self.stack.requests("engine-0"))
        calls = [stack.Background(lambda name=name: self.send_first_call(name, f"{name} answer=250")) for name in names]
        stack.wait_until(lambda: len(self.stack.requests("engine-0")) == before + len(names), "the calls")
        self.send_first_call("crash-1", "CRASH-ENGINE beside others")
        for call in calls:
            call.join()
            self.assertNotEqual(call.result["outcome"], "notRun")
        self.restart_engine()
        for name in names:
            reply = self.send_first_call(name + "-again", f"{name} answer=250")
            self.assertEqual((reply["outcome"], reply["usage"]["completion"]), ("completed", 250))
        self.assertEqual(self.crashes(), 1)


class StreamTakeoverTest(unittest.TestCase):
    """Owners that are killed while their calls stream."""

    PROGRAMS = 8
    MAX_PROGRAMS = 200
    LENGTH = 250

    def setUp(self):
        self.stack = stack.small_stack(engines=1, engine_flags=("--step-us", "10000"),
                                       entry_flags=("--lease-time", "1000", "--flush-interval", "100"))
        self.addCleanup(self.stack.close)
        self.survivor = self.stack.entries["entry-1"]

    def repeat_until_served(self, caller, text):
        """Repeats a call until an owner responds; returns the reply."""
        end = time.monotonic() + 30
        while True:
            status, reply = caller.model(text)
            if status == 200 or time.monotonic() > end:
                return reply
            caller.open()
            time.sleep(0.1)

    def engine_answer(self, prompt):
        """Returns the answer of the engine to a prompt that is sent to it directly."""
        body = {"model": "small", "messages": [{"role": "user", "content": prompt}], "max_tokens": 100_000}
        _, text = stack.send_request("POST", self.stack.engines["engine-0"] + "/v1/chat/completions", json.dumps(body))
        events = [event.removeprefix("data: ") for event in text.strip().split("\n\n")]
        choices = [choice for event in events if event != "[DONE]" for choice in json.loads(event)["choices"]]
        return "".join(choice["delta"]["content"] for choice in choices)

    def is_owner_of_any(self):
        """Returns whether the log of entry-0 contains a program."""
        return "stream-" in stack.send_request("GET", self.stack.key_value + "/v1/values?prefix=log/entry-0.")[1]

    def open_programs(self):
        """Opens programs until there are enough and entry-0 owns one of them; returns the last ones."""
        names = []
        while len(names) < self.PROGRAMS or not self.is_owner_of_any():
            self.assertLess(len(names), self.MAX_PROGRAMS, "entry-0 owns no program")
            names.append(f"stream-{len(names)}")
            self.assertEqual(stack.Caller(self.survivor, names[-1]).open()[0], 200)
            # The log of entry-0 contains a new program only after its flush interval.
            time.sleep(0.05)
        return names[-self.PROGRAMS:]

    def test_new_owner_joins_the_streams_that_still_run(self):
        names = self.open_programs()
        callers = {name: stack.Caller(self.survivor, name) for name in names}
        texts = {name: f"{name} answer={self.LENGTH}" for name in names}
        first = [stack.Background(lambda name=name: callers[name].model(texts[name])) for name in names]
        stack.wait_until(lambda: len(self.stack.requests("engine-0")) == self.PROGRAMS, "the streams")
        self.stack.kill("entry-0")
        for call in first:
            call.join()
        for name in names:
            caller = stack.Caller(self.survivor, name)
            reply = self.repeat_until_served(caller, texts[name])
            self.assertEqual(reply["outcome"], "completed", reply)
            self.assertEqual(reply["answer"], self.engine_answer(texts[name] + "\n"))
            requests = [line for line in self.stack.requests("engine-0") if line.startswith(name + " ")]
            self.assertEqual(len(requests), 1, requests)


if __name__ == "__main__":
    unittest.main()
