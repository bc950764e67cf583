"""A draining upstream gets no new work, and a stopping runner process aborts no request in progress."""

import json
import signal
import time
import unittest

import stack

# Time after the stop signal of its runner process after which an upstream gets no new work.
NO_NEW_WORK_DELAY_S = 4
CALLERS = 12
LONG_ANSWER = 150


def stream(caller, text):
    """Makes a streamed model call; returns the streamed text and the final reply."""
    body = {"type": "model", "model": "small", "input": text}
    if caller.history:
        body["extends"] = caller.history
    url = f"{caller.entry}/v1/programs/{caller.program}/calls/{caller.number}?stream=true"
    status, reply = stack.send_request("POST", url, json.dumps(body), timeout=60)
    if not reply.startswith("event:"):
        return "", {"status": status, "body": json.loads(reply)}
    streamed, end = "", None
    for event in reply.strip().split("\n\n"):
        name, data = event.split("\n")
        data = json.loads(data.removeprefix("data: "))
        if name == "event: chunk":
            streamed += data["text"]
        else:
            end = data
    if "history" in end["body"]:
        caller.history = end["body"]["history"]
        caller.number += 1
    return streamed, end


class Load:
    """Callers that make long streamed calls one after another until they are stopped."""

    def __init__(self, entries, count=CALLERS):
        self.stopping = False
        self.turns = []
        self.threads = [stack.Background(lambda i=i: self._call(entries[i % len(entries)], f"drain-{i}"))
                        for i in range(count)]

    def _call(self, entry, name):
        caller = stack.Caller(entry, name)
        caller.open()
        while not self.stopping:
            text = f"{name} turn {caller.number} answer={LONG_ANSWER}"
            self.turns.append((name, text, *stream(caller, text)))

    def stop(self):
        """Stops the callers and waits for the calls in progress."""
        self.stopping = True
        for thread in self.threads:
            thread.join()


class DrainingTest(unittest.TestCase):
    """Runner processes that stop while long streams run."""

    def setUp(self):
        self.start()

    def start(self, *runner_flags):
        """Starts a deployment with two engines."""
        self.stack = stack.small_stack(runner_flags=runner_flags)
        self.entries = list(self.stack.entries.values())

    def tearDown(self):
        self.stack.close()

    def events(self, name, event):
        """Returns the log events of a daemon with a name."""
        return [line for line in self.stack.log(name) if line["name"] == event]

    def assert_whole(self, load):
        """Checks that each turn completed, that its stream equals its answer and that it has the full length."""
        self.assertGreater(len(load.turns), CALLERS)
        for name, text, streamed, end in load.turns:
            self.assertEqual((end["status"], end["body"]["outcome"]), (200, "completed"), (name, text, end))
            self.assertEqual(streamed, end["body"]["answer"], (name, text))
            self.assertEqual(end["body"]["usage"]["completion"], LONG_ANSWER)
            if " turn 1 " in text:
                self.assertEqual(streamed, self.engine_answer(text + "\n"))

    def engine_answer(self, prompt):
        """Returns the answer of the remaining engine to a prompt that is sent to it directly."""
        body = {"model": "small", "messages": [{"role": "user", "content": prompt}], "stream": True,
                "max_tokens": 100_000}
        _, text = stack.send_request("POST", self.stack.engines["engine-1"] + "/v1/chat/completions", json.dumps(body))
        events = [event.removeprefix("data: ") for event in text.strip().split("\n\n")]
        choices = [choice for event in events if event != "[DONE]" for choice in json.loads(event)["choices"]]
        return "".join(choice["delta"]["content"] for choice in choices)

    def drain_under_load(self, before_stop=lambda: None):
        """Stops a runner process under load; returns the load."""
        load = Load(self.entries)
        stack.wait_until(lambda: len(load.turns) >= CALLERS, "the first turns")
        before_stop()
        self.stack.processes["runner-0"].signal(signal.SIGTERM)
        time.sleep(NO_NEW_WORK_DELAY_S)
        at_limit = len(self.stack.requests("engine-0"))
        turns_at_limit = len(load.turns)
        self.assertGreater(at_limit, 0)
        stack.wait_until(lambda: len(load.turns) > turns_at_limit + CALLERS, "turns elsewhere", 60)
        self.assertEqual(self.stack.processes["runner-0"].wait(), 0)
        load.stop()
        self.assertEqual(len(self.stack.requests("engine-0")), at_limit)
        # Each turn reached an engine once: none was aborted and continued on another.
        self.assertEqual(sum(len(self.stack.requests(name)) for name in self.stack.engines), len(load.turns))
        self.assertEqual(self.events("runner-0", "stopped-early"), [])
        return load

    def test_stopping_runner_cuts_off_nothing_while_the_vm_list_lags(self):
        # The VM list still lists the draining runner as live.
        self.assert_whole(self.drain_under_load())

    def test_stopping_runner_cuts_off_nothing_while_the_vm_list_is_silent(self):
        self.assert_whole(self.drain_under_load(lambda: self.stack.pause("vmlist")))

    def test_stopping_runner_with_a_long_queue_hands_it_back(self):
        self.stack.close()
        self.start("--concurrency", "1", "--queue-wait-limit", "600000")
        self.assert_whole(self.drain_under_load())

    def test_stopping_tool_runner_never_leaves_a_call_unknown(self):
        callers = [stack.Caller(self.entries[i % 2], f"charge-{i}") for i in range(CALLERS)]
        outcomes = []

        def charge(caller):
            caller.open()
            for _ in range(10):
                status, reply = caller.tool("12 pouches late=300")
                outcomes.append((caller.program, caller.number - (status == 200), reply["outcome"]))
                if reply["outcome"] != "completed":
                    return

        threads = [stack.Background(lambda caller=caller: charge(caller)) for caller in callers]
        stack.wait_until(lambda: len(outcomes) > CALLERS, "the first charges")
        self.assertEqual(self.stack.terminate("runner-orders"), 0)
        for thread in threads:
            thread.join()
        self.assertEqual({outcome for _, _, outcome in outcomes}, {"completed", "notRun"})
        effects = self.stack.effects("orders")
        for program, number, outcome in outcomes:
            self.assertEqual(effects.count(f"charge {program} {number}"), int(outcome == "completed"))

    def test_second_signal_logs_what_was_left(self):
        caller = stack.Caller(self.entries[0], "left-1")
        caller.open()
        call = stack.Background(lambda: caller.tool("12 pouches hang=5000"))
        stack.wait_until(lambda: self.events("runner-orders", "process-started"), "the runner")
        time.sleep(0.5)
        process = self.stack.processes["runner-orders"]
        process.signal(signal.SIGTERM)
        stack.wait_until(lambda: self.events("runner-orders", "process-stopping"), "the first signal")
        time.sleep(0.2)
        process.signal(signal.SIGTERM)
        self.assertEqual(process.wait(), 0)
        call.join()
        left = self.events("runner-orders", "call-cut-off")
        self.assertEqual([(event["program"], event["call"]) for event in left], [("left-1", 1)])
        self.assertEqual(call.result[1]["outcome"], "unknown")


if __name__ == "__main__":
    unittest.main()
