"""On the users' platform, a request that crashes the runners that run it crashes three at most.

Real entries and turn stores in three zones, with stand-ins for the runners and the platform's store.
"""

import concurrent.futures
import os
import signal
import time
import unittest

import platformstack
import stack

# Time within which all entries know, of the users' contact_ms.
CONTACT_S = 3
LAST_RUNNER = 3
PAUSE_BETWEEN_ATTEMPTS_S = 0.1
CRASHING = "crash-runner: a prompt that no engine survives"
ATTEMPTS = 12


class CrashingRequestTest(unittest.TestCase):
    """Counts the runners that one request has ended."""

    entries = 3
    runners = 5

    def setUp(self):
        self.stack = platformstack.PlatformStack(self.entries, self.runners)
        self.addCleanup(self.stack.close)

    def restart_ended(self, keep_id=False):
        """Starts all runners that have ended again."""
        for runner in self.stack.ended():
            runner.start(runner.identity if keep_id else None)

    def send_everywhere(self, path, body="", attempts=ATTEMPTS, keep_id=False, fields=None):
        """Sends a request through one entry after the other, and brings the runners back; returns the statuses."""
        statuses = []
        names = list(self.stack.entries)
        for attempt in range(attempts):
            statuses.append(self.stack.send(names[attempt % len(names)], path, body, fields)[0])
            time.sleep(PAUSE_BETWEEN_ATTEMPTS_S)
            self.restart_ended(keep_id)
        return statuses

    def check_third_is_last(self, path, body="", keep_id=False):
        """Checks that no entry lets the request reach a runner once it has crashed the third."""
        self.send_everywhere(path, body, ATTEMPTS, keep_id)
        time.sleep(CONTACT_S)
        self.check_no_further_run(path, body, keep_id)
        self.assertLessEqual(self.stack.executed(path), LAST_RUNNER)

    def check_no_further_run(self, path, body, keep_id=False):
        """Checks that no entry lets a request reach a runner any more."""
        executed = self.stack.executed(path)
        self.assertEqual(self.send_everywhere(path, body, len(self.stack.entries), keep_id),
                         [503] * len(self.stack.entries))
        self.assertEqual(self.stack.executed(path), executed)

    def test_turn_that_comes_again_at_every_entry(self):
        self.check_third_is_last("/turn/x", CRASHING)

    def test_stream_without_history(self):
        self.check_third_is_last("/stream/x", CRASHING)

    def test_call_that_may_be_repeated(self):
        self.check_third_is_last("/safe/crash-runner")

    def test_call_that_may_run_once(self):
        self.check_third_is_last("/unsafe/x", CRASHING)

    def test_runners_that_come_back_under_their_id(self):
        self.check_third_is_last("/turn/x", CRASHING, keep_id=True)

    def test_refusal_says_when_to_come_back_and_other_requests_are_served(self):
        self.send_everywhere("/turn/x", CRASHING)
        status, fields = self.stack.send("entry-1", "/turn/x", CRASHING)
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["Retry-After"]), CONTACT_S)
        self.assertEqual(self.stack.send("entry-1", "/turn/x", "another prompt")[0], 200)

    def test_prompt_that_begins_with_the_crashing_one(self):
        self.send_everywhere("/stream/x", CRASHING)
        executed = self.stack.executed("/stream/x")
        self.assertEqual(self.stack.send("entry-2", "/stream/x", CRASHING + " and more")[0], 503)
        self.assertEqual(self.stack.executed("/stream/x"), executed)

    def test_turn_that_continues_another(self):
        self.assertEqual(self.stack.send("entry-0", "/turn/first", "hello ")[0], 200)
        first = "r-1"
        self.send_everywhere("/turn/x", CRASHING, fields={"X-Previous-Turn": first})
        self.assertLessEqual(self.stack.executed("/turn/x"), LAST_RUNNER)
        self.assertEqual(
            self.stack.send("entry-1", "/turn/x", "go on", fields={"X-Previous-Turn": first})[0], 200)

    def test_entry_that_saw_the_crashes_is_killed(self):
        for _ in range(2):
            self.stack.send("entry-0", "/turn/x", CRASHING)
            time.sleep(PAUSE_BETWEEN_ATTEMPTS_S)
            self.restart_ended()
        self.stack.restart_entry("entry-0")
        self.check_third_is_last("/turn/x", CRASHING)

    def test_entries_that_cannot_reach_each_other(self):
        self.stack.separate_entries()
        time.sleep(1)
        self.send_everywhere("/turn/x", CRASHING, attempts=2)
        # The entries learn of the first crashes through the platform's store.
        time.sleep(CONTACT_S)
        self.check_third_is_last("/turn/x", CRASHING)

    def test_platform_store_is_silent(self):
        self.stack.pause_store()
        self.check_third_is_last("/turn/x", CRASHING)
        self.stack.resume_store()

    def test_entry_that_starts_while_the_platform_store_is_silent(self):
        self.send_everywhere("/turn/x", CRASHING)
        time.sleep(CONTACT_S)
        executed = self.stack.executed("/turn/x")
        self.stack.pause_store()
        self.stack.restart_entry("entry-2")
        time.sleep(1)
        self.assertEqual(self.stack.send("entry-2", "/turn/x", CRASHING)[0], 503)
        self.assertEqual(self.stack.executed("/turn/x"), executed)
        self.stack.resume_store()

    def test_sent_at_once_through_one_entry(self):
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            list(pool.map(lambda _: self.stack.send("entry-0", "/turn/x", CRASHING), range(6)))
        self.assertLessEqual(self.stack.executed("/turn/x"), 6)
        self.restart_ended()
        time.sleep(CONTACT_S)
        self.check_no_further_run("/turn/x", CRASHING)


class InnocentRequestTest(unittest.TestCase):
    """Requests under which runners ended for another reason are still served."""

    path = "/unsafe/work=400"

    def setUp(self):
        self.stack = platformstack.PlatformStack(entries=2, runners=6)
        self.addCleanup(self.stack.close)

    def in_flight(self, break_off):
        """Sends the request, breaks it off while a runner works on it, and returns its status."""
        executed = self.stack.executed(self.path)
        request = stack.Background(lambda: self.stack.send("entry-0", self.path, "innocent")[0])
        stack.wait_until(lambda: self.stack.executed(self.path) > executed, "the request to run")
        break_off()
        request.join()
        return request.result

    def busy_runner(self):
        """Returns the runner on which the request ran last."""
        events = [event for event in self.stack.log("entry-0") if event["event"] in (642, 640)]
        self.assertTrue(events)
        return next(runner for runner in self.stack.runners if runner.identity == events[-1]["runner"])

    def check_served(self):
        """Checks that both entries serve the request."""
        self.assertEqual(self.stack.send("entry-0", self.path, "innocent")[0], 200)
        self.assertEqual(self.stack.send("entry-1", self.path, "innocent")[0], 200)

    def test_zones_crash_one_after_the_other(self):
        def crash_zones():
            for runner in self.stack.runners:
                if runner.zone in platformstack.ZONES[:2]:
                    runner.process.kill()

        for _ in range(4):
            self.in_flight(crash_zones)
            time.sleep(0.5)
            for runner in self.stack.ended():
                runner.start()
            time.sleep(0.5)
        self.check_served()

    def test_connections_are_reset_and_the_runners_live_on(self):
        reset = os.path.join(self.stack.folder, "reset")
        with open(reset, "w", encoding="utf-8"):
            pass
        for _ in range(5):
            self.assertNotEqual(self.stack.send("entry-0", self.path, "innocent")[0], 200)
        os.remove(reset)
        self.check_served()

    def test_runners_are_replaced_one_after_the_other(self):
        def release():
            for runner in self.stack.runners:
                if runner.service == "tools":
                    runner.register("draining")
            time.sleep(0.3)
            for runner in self.stack.runners:
                if runner.service == "tools":
                    runner.process.kill()

        for _ in range(4):
            self.in_flight(release)
            for runner in self.stack.ended():
                runner.start()
            time.sleep(0.5)
        self.check_served()

    def test_runners_are_cut_off(self):
        def cut():
            for runner in self.stack.runners:
                runner.process.signal(signal.SIGSTOP)

        for _ in range(3):
            self.in_flight(cut)
            for runner in self.stack.runners:
                runner.process.signal(signal.SIGCONT)
            time.sleep(0.5)
        self.check_served()

    def test_other_requests_on_a_crashed_runner_are_served(self):
        crashing = "/unsafe/crash-runner"
        for _ in range(LAST_RUNNER):
            self.in_flight(lambda: self.stack.send("entry-1", crashing, CRASHING))
            time.sleep(0.5)
            for runner in self.stack.ended():
                runner.start()
        self.check_served()


if __name__ == "__main__":
    unittest.main()
