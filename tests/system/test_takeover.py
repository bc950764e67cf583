"""Another entry continues the programs of one that died, was paused or stopped."""

import concurrent.futures
import json
import time
import unittest

import stack

LEASE_MS = 1000
FLUSH_MS = 100


def until_served(send, timeout=20):
    """Repeats a request until an owner responds; returns status and reply."""
    end = time.monotonic() + timeout
    while True:
        status, reply = send()
        if status not in (503, 504) or "history" in reply or time.monotonic() > end:
            return status, reply
        time.sleep(0.05)


def partition_table(deployment):
    """Returns the partition table of a deployment."""
    status, text = stack.send_request("GET", deployment.key_value + "/v1/value?key=partitions")
    return json.loads(text) if status == 200 else {"entries": [], "partitions": []}


def wait_for_owners(deployment, count):
    """Waits until count entries own partitions and no log is left to be replayed."""
    def are_settled():
        partitions = partition_table(deployment)["partitions"]
        return len({partition[0] for partition in partitions}) == count and all(len(one) == 1 for one in partitions)
    stack.wait_until(are_settled, f"{count} entries to own partitions")


class TakeoverTest(unittest.TestCase):
    """Each test starts its own deployment, since it loses an entry."""

    def setUp(self):
        self.stack = stack.small_stack(entry_flags=("--lease-time", str(LEASE_MS), "--flush-interval", str(FLUSH_MS)))
        self.addCleanup(self.stack.close)
        wait_for_owners(self.stack, 2)
        self.programs = 0

    def incarnations(self, name):
        """Returns the incarnations of an entry in the partition table."""
        return [entry["incarnation"] for entry in partition_table(self.stack)["entries"] if entry["name"] == name]

    def open_owned_program(self, name, other):
        """Opens programs until the log of the named entry contains one; returns its caller."""
        while True:
            self.programs += 1
            caller = stack.Caller(self.stack.entries[other], f"order-{self.programs}")
            caller.open()
            if until_served(lambda: caller.tool("claim a place"))[0] == 200 and self.is_logged(name, caller.program):
                return caller

    def is_logged(self, name, program):
        """Returns whether the log of an entry contains a text in quotes, such as a program id."""
        status, text = stack.send_request("GET", self.stack.key_value + f"/v1/values?prefix=log/{name}.&limit=1000")
        return status == 200 and f'\\"{program}\\"' in text

    def wait_committed(self, caller, number):
        """Waits until a call of a program is durable."""
        url = f"{caller.entry}/v1/programs/{caller.program}/calls/{number}"
        stack.wait_until(lambda: json.loads(stack.send_request("GET", url)[1]).get("committed"), "the commit")

    def effects(self, caller):
        """Returns how often each call of a program took effect."""
        lines = [line for line in self.stack.effects("orders") if line.startswith(f"charge {caller.program} ")]
        return {line: lines.count(line) for line in lines}

    def test_killed_between_turns_after_commit(self):
        caller = self.open_owned_program("entry-0", "entry-1")
        self.assertEqual(caller.model("which flavour?")[0], 200)
        self.wait_committed(caller, 2)
        history = caller.history
        self.stack.kill("entry-0")
        status, reply = until_served(lambda: caller.tool("12 pouches"))
        self.assertEqual((status, reply["outcome"]), (200, "completed"))
        self.assertNotEqual(reply["history"], history)
        self.assertEqual(until_served(lambda: caller.model("thank you"))[0], 200)
        self.assertEqual(set(self.effects(caller).values()), {1})
        self.assertEqual(len(self.effects(caller)), 2)
        self.assertEqual(caller.show()[1]["nextCall"], 5)

    def test_killed_before_commit_the_caller_presents_the_turn_again(self):
        caller = self.open_owned_program("entry-0", "entry-1")
        self.stack.faults(outage=True)
        number, before = caller.number, caller.history
        status, reply = caller.model("which flavour?")
        self.assertEqual((status, reply["committed"]), (200, False))
        self.stack.kill("entry-0")
        self.stack.faults(outage=False)
        status, reply = until_served(lambda: caller.tool("12 pouches"))
        self.assertEqual((status, reply["error"]["code"]), (409, "call-out-of-order"))
        status, show = caller.show()
        self.assertEqual((show["nextCall"], show["history"]), (number, before))
        caller.number, caller.history = number, before
        self.assertEqual(until_served(lambda: caller.model("which flavour?"))[0], 200)
        self.assertEqual(until_served(lambda: caller.tool("12 pouches"))[0], 200)
        self.assertEqual(set(self.effects(caller).values()), {1})

    def test_killed_while_a_charge_runs_it_is_unknown_and_never_sent_again(self):
        caller = self.open_owned_program("entry-0", "entry-1")
        number = caller.number
        with concurrent.futures.ThreadPoolExecutor() as pool:
            running = pool.submit(caller.tool, "12 pouches late=500")
            stack.wait_until(lambda: self.is_logged("entry-0", "12 pouches late=500"), "the claim")
            self.stack.kill("entry-0")
            status, reply = running.result()
        self.assertEqual((status, reply["outcome"]), (504, "unknown"))
        status, again = until_served(lambda: caller.tool("12 pouches late=500", number=number))
        self.assertEqual((status, again["outcome"]), (504, "unknown"))
        caller.history, caller.number = again["history"], number + 1
        self.assertEqual(until_served(lambda: caller.model("and now?"))[0], 200)
        self.assertLessEqual(max(self.effects(caller).values()), 1)

    def test_a_paused_owner_that_wakes_steps_down(self):
        caller = self.open_owned_program("entry-0", "entry-1")
        paused = self.incarnations("entry-0")
        self.stack.pause("entry-0")
        status, reply = until_served(lambda: caller.tool("12 pouches"))
        self.assertEqual((status, reply["outcome"]), (200, "completed"))
        number, history = caller.number, caller.history
        late = stack.Caller(self.stack.entries["entry-0"], caller.program)
        late.number, late.history = number, history
        with concurrent.futures.ThreadPoolExecutor() as pool:
            # The request waits in the socket of the paused owner, which handles it first when it resumes.
            waiting = pool.submit(until_served, lambda: late.tool("6 pouches", number=number))
            status, first = until_served(lambda: caller.tool("6 pouches", number=number))
            self.stack.resume("entry-0")
            status_late, second = waiting.result()
        self.assertEqual((status, status_late), (200, 200))
        self.assertEqual((first["answer"], first["history"]), (second["answer"], second["history"]))
        self.assertEqual(set(self.effects(caller).values()), {1})
        self.assertEqual(len(self.effects(caller)), 3)
        stack.wait_until(lambda: self.incarnations("entry-0") not in ([], paused), "the woken entry to begin anew")
        wait_for_owners(self.stack, 2)
        self.assertEqual(caller.show()[1]["nextCall"], number + 1)

    def test_two_callers_race_the_same_number_at_two_entries(self):
        entries = list(self.stack.entries.values())
        for i in range(10):
            first = stack.Caller(entries[0], f"race-{i}")
            until_served(first.open)
            second = stack.Caller(entries[1], f"race-{i}")
            with concurrent.futures.ThreadPoolExecutor() as pool:
                same = [pool.submit(caller.tool, "12 pouches") for caller in (first, second)]
                replies = [result.result() for result in same]
            self.assertEqual([status for status, _ in replies], [200, 200])
            self.assertEqual(replies[0][1]["history"], replies[1][1]["history"])
            with concurrent.futures.ThreadPoolExecutor() as pool:
                different = [pool.submit(first.tool, "6 pouches"), pool.submit(second.tool, "7 pouches")]
                statuses = sorted(result.result()[0] for result in different)
            self.assertEqual(statuses, [200, 409])
            self.assertEqual(list(self.effects(first).values()), [1, 1])

    def test_a_stopping_entry_hands_its_programs_over(self):
        caller = self.open_owned_program("entry-0", "entry-1")
        spent = caller.show()[1]["spent"]
        self.assertEqual(self.stack.terminate("entry-0"), 0)
        status, show = until_served(caller.show)
        self.assertEqual((status, show["history"], show["spent"]), (200, caller.history, spent))
        self.assertEqual(caller.tool("12 pouches")[0], 200)
        self.assertEqual(set(self.effects(caller).values()), {1})

    def test_a_joining_entry_gets_a_share_with_its_programs(self):
        callers = []
        for i in range(12):
            caller = stack.Caller(list(self.stack.entries.values())[i % 2], f"moving-{i}")
            caller.open()
            self.assertEqual(until_served(lambda one=caller: one.tool("12 pouches"))[0], 200)
            callers.append(caller)
        self.stack.entry("entry-2", "rwc-c", "--lease-time", str(LEASE_MS), "--flush-interval", str(FLUSH_MS))
        self.stack.publish()
        self.stack.wait_ready()
        wait_for_owners(self.stack, 3)
        for caller in callers:
            caller.entry = self.stack.entries["entry-2"]
            self.assertEqual(until_served(lambda one=caller: one.tool("6 pouches"))[0], 200)
            self.assertEqual(list(self.effects(caller).values()), [1, 1])


if __name__ == "__main__":
    unittest.main()
