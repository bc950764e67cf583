"""Runners that say in their answers that they leave, while the platform's store is silent."""

import time
import unittest

import platformstack

LEAVING_FIELD = "Server-Leaving"
# Longer than an entry takes to see a registration.
REGISTRATION_S = 1


class LeavingRunnersTest(unittest.TestCase):
    """Each test starts its own deployment, since it makes runners leave."""

    def setUp(self):
        self.stack = platformstack.PlatformStack(entries=2, runners=3)
        self.addCleanup(self.stack.close)
        self.tools = [runner for runner in self.stack.runners if runner.service == "tools"]

    def send_until_leaving(self, entry):
        """Sends requests until an answer says that its runner leaves."""
        for _ in range(60):
            status, fields = self.stack.send(entry, "/safe/learn")
            self.assertEqual(status, 200)
            if fields.get(LEAVING_FIELD) == "1":
                return
        self.fail("no answer says that its runner leaves")

    def leaving_answers(self, entry):
        """Sends 30 requests, none of which may be refused; returns how many were answered by runners that leave."""
        count = 0
        for _ in range(30):
            status, fields = self.stack.send(entry, "/safe/work")
            self.assertEqual(status, 200)
            count += fields.get(LEAVING_FIELD) == "1"
        return count

    def is_served_by_one_that_stays(self, path):
        """Returns whether a request is served by a runner that does not say that it leaves."""
        status, fields = self.stack.send("entry-0", path)
        return status == 200 and fields.get(LEAVING_FIELD) is None

    # Guards against requests that go on to a runner which has said itself that it leaves, as the store can't say so.
    def test_a_runner_that_leaves_is_avoided_while_the_store_is_silent(self):
        self.stack.pause_store()
        leaving = self.tools[:2]
        for runner in leaving:
            runner.leave()
        for entry in self.stack.entries:
            # One answer of each runner is enough.
            self.assertIn(self.leaving_answers(entry), (1, 2))
            self.assertEqual(self.leaving_answers(entry), 0)
        known = {line["runner"] for line in self.stack.log("entry-0") if line["name"] == "runner-leaving"}
        self.assertLessEqual(known, {runner.identity for runner in leaving})
        self.assertTrue(known)
        # Listed as sound after the outage, it is still avoided.
        self.stack.resume_store()
        for runner in leaving:
            runner.register("ready")
        time.sleep(REGISTRATION_S)
        for entry in self.stack.entries:
            self.assertEqual(self.leaving_answers(entry), 0)

    # Guards against avoiding a runner that is back under its id, or another service's runner at its address.
    def test_a_later_start_and_another_service_at_the_address_are_served(self):
        self.tools[0].leave()
        self.send_until_leaving("entry-0")
        self.tools[0].restart(self.tools[0].identity)
        for other in self.tools[1:]:
            other.leave()
        platformstack.stack.wait_until(lambda: self.is_served_by_one_that_stays("/safe/again"), "the later start")
        self.tools[0].leave()
        self.send_until_leaving("entry-0")
        # All leave: refused at once, with a time to come back.
        platformstack.stack.wait_until(lambda: self.stack.send("entry-0", "/safe/none")[0] == 503, "a refusal")
        self.assertIn("Retry-After", self.stack.send("entry-0", "/safe/none")[1])
        for runner in self.stack.runners:
            if runner.service == "chat":
                runner.leave()
        self.tools[0].service = "chat"
        self.tools[0].restart()
        platformstack.stack.wait_until(lambda: self.is_served_by_one_that_stays("/stream/x"), "the other service")
        self.assertEqual(self.stack.send("entry-0", "/stream/x")[0], 200)
        lines = [line for line in self.stack.log("entry-0") if line["name"] == "exchange-ended"]
        self.assertEqual(lines[-1]["runner"], self.tools[0].identity)


if __name__ == "__main__":
    unittest.main()
