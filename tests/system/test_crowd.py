"""Crowds of callers that don't behave: every process lives, within its machine's memory and descriptors.

No test looks at times or at how many requests of a crowd are served; an ordinary caller may be refused with a promise and
comes back, as the platform's callers do.
"""

import time
import unittest

import crowd
import platformstack
import stack

BODY_BYTES = 1_000_000
# A crowd whose bodies alone are more than each machine's memory.
CALLERS = 100
LIMITS = {"memory_mb": 64, "max_fds": 400}
# More connections than the machine has descriptors.
IDLE_CALLERS = 600
MANY_CALLERS = 380
# Together more than half of a turn store's memory.
SMALL_TURNS = 800
SMALL_TURN_BYTES = 60_000
# A chain of more than one frame of the turn stores holds.
CHAIN_TURNS = 9
LARGE_CHUNK_BYTES = 65_536
TINY_CHUNK_BYTES = 16
ORDINARY_TRIES = 5
# No timeout makes room while a test runs.
REQUEST_LIMITS = {"max_body_bytes": BODY_BYTES, "header_timeout_ms": 600_000, "idle_timeout_ms": 600_000}
ANSWER_TIMEOUT_S = 10
CHUNKED = "Transfer-Encoding: chunked"


class CrowdTest(unittest.TestCase):
    """A small deployment on the users' platform, new for each test since memory is measured at its peak."""

    def setUp(self):
        self.stack = platformstack.PlatformStack(entries=1, runners=1, limits=LIMITS,
                                                 request_limits=REQUEST_LIMITS)
        self.host = self.stack.entries["entry-0"]

    def tearDown(self):
        self.stack.close()

    def crowd(self, count, payload, path="/safe/x", fields=(CHUNKED,)):
        """Returns a crowd of callers whose requests have the same fields and the same bytes behind their heads."""
        payloads = (crowd.request_head(path, f"crowd-{i}", fields) + payload for i in range(count))
        return crowd.Crowd.pressing(self.host, platformstack.CALLER_PORT, payloads)

    def assert_bounded(self):
        """Checks that every process lives and has stayed within its machine."""
        for name in ("entry-0", "turn-store-0", "turn-store-1", "turn-store-2"):
            process = self.stack.processes[name].popen
            self.assertIsNone(process.poll(), f"{name} ended")
            self.assertLessEqual(crowd.peak_memory_mb(process.pid), LIMITS["memory_mb"], f"memory of {name} in MB")
            self.assertLessEqual(crowd.descriptors(process.pid), LIMITS["max_fds"], f"descriptors of {name}")

    def assert_served(self, path, body=""):
        """Checks that an ordinary request is answered, by the tries that a caller makes who honours promises."""
        answers = []
        for _ in range(ORDINARY_TRIES):
            status, fields = self.stack.send("entry-0", path, body)
            if status == 200:
                return
            answers.append(status)
            self.assertIn(status, (0, 503), answers)
            time.sleep(float(fields.get("Retry-After", 0.5)))
        self.fail(f"an ordinary request to {path} was answered {answers}")

    def assert_holds_beside(self, callers):
        """Checks a crowd while it is there and after it has left."""
        with callers as open_crowd:
            self.assert_served("/safe/ordinary")
            self.assert_served("/turn/ordinary", "hello")
            self.assert_bounded()
            # Each of these says that the request does not run, as a connection that closes without an answer does.
            self.assertLessEqual(open_crowd.statuses, {"none", "400", "408", "413", "431", "503"})
        self.assert_served("/safe/after")
        self.assert_bounded()

    def test_large_chunks_that_stop_before_their_end(self):
        self.assert_holds_beside(self.crowd(CALLERS, crowd.chunked(b"x" * (BODY_BYTES - 1), LARGE_CHUNK_BYTES)))

    def test_tiny_chunks_that_stop_before_their_end(self):
        self.assert_holds_beside(self.crowd(CALLERS, crowd.chunked(b"x" * (BODY_BYTES - 1), TINY_CHUNK_BYTES)))

    def test_announced_bodies_that_miss_a_byte(self):
        self.assert_holds_beside(self.crowd(CALLERS, b"x" * (BODY_BYTES - 1), fields=(f"Content-Length: {BODY_BYTES}",)))

    def test_bodies_over_the_limit_in_chunks(self):
        self.assert_holds_beside(self.crowd(CALLERS, crowd.chunked(b"x" * (3 * BODY_BYTES), LARGE_CHUNK_BYTES)))

    def test_bodies_over_the_limit_as_announced(self):
        self.assert_holds_beside(
            self.crowd(CALLERS, b"x" * (3 * BODY_BYTES), fields=(f"Content-Length: {3 * BODY_BYTES}",)))

    def test_trailers_without_end(self):
        trailers = b"0\r\n" + b"X-A: b\r\n" * 100_000
        self.assert_holds_beside(self.crowd(CALLERS, crowd.chunked(b"x" * (BODY_BYTES // 2), LARGE_CHUNK_BYTES) + trailers))

    def test_whole_bodies_at_once(self):
        body = crowd.chunked(b"x" * BODY_BYTES, LARGE_CHUNK_BYTES) + b"0\r\n\r\n"
        self.assert_holds_beside(self.crowd(CALLERS, body))

    def test_whole_turns_at_once(self):
        fields = (f"Content-Length: {BODY_BYTES}", "X-Token-Usage: 100,40", "X-Program-Id: p")
        self.assert_holds_beside(self.crowd(CALLERS, b"x" * BODY_BYTES, "/turn/x", fields))

    def test_turns_that_fill_the_turn_stores(self):
        for i in range(CALLERS):
            status, _ = self.stack.send("entry-0", f"/turn/{i}", "x" * BODY_BYTES)
            self.assertIn(status, (200, 503))
        self.assert_served("/turn/ordinary", "hello")
        self.assert_bounded()

    def test_small_turns_that_fill_the_turn_stores(self):
        for i in range(SMALL_TURNS):
            status, _ = self.stack.send("entry-0", f"/turn/{i}", "x" * SMALL_TURN_BYTES)
            # A turn that can't be kept is refused before it runs.
            self.assertIn(status, (200, 503))
        self.assert_served("/safe/ordinary")
        self.assert_bounded()

    def test_many_turns_that_continue_a_long_chain(self):
        fields = {}
        for i in range(CHAIN_TURNS):
            name = f"chain-{i}"
            status, _ = self.stack.send("entry-0", "/turn/x", "x" * BODY_BYTES, {**fields, "X-Request-Id": name})
            self.assertEqual(status, 200)
            fields = {"X-Previous-Turn": name}
        status, _ = self.stack.send("entry-0", "/turn/x", "in calm", fields)
        self.assertEqual(status, 200)
        previous = [f"{key}: {value}" for key, value in fields.items()]
        fields = ("Content-Length: 5", "X-Token-Usage: 100,40", "X-Program-Id: p", *previous)
        self.assert_holds_beside(self.crowd(CALLERS, b"hello", "/turn/x", fields))

    def test_idle_connections_beyond_the_descriptors(self):
        payloads = (b"" for _ in range(IDLE_CALLERS))
        self.assert_holds_beside(crowd.Crowd.pressing(self.host, platformstack.CALLER_PORT, payloads))

    def test_heads_that_never_end(self):
        head = crowd.request_head("/safe/x", "crowd", (f"X-Long: {'x' * 15_000}",))[:-2]
        payloads = (head for _ in range(IDLE_CALLERS))
        self.assert_holds_beside(crowd.Crowd.pressing(self.host, platformstack.CALLER_PORT, payloads))

    def test_small_bodies_that_stop_before_their_end(self):
        body = crowd.chunked(b"x" * 200_000, LARGE_CHUNK_BYTES)
        self.assert_holds_beside(self.crowd(MANY_CALLERS, body))

    def test_a_single_large_request_is_served_in_calm(self):
        self.assert_served("/safe/large", "x" * BODY_BYTES)
        self.assert_served("/turn/large", "x" * BODY_BYTES)
        self.assert_bounded()


class OwnInterfaceCrowdTest(unittest.TestCase):
    """The same for the interface of briarhinged."""

    BODY_BYTES = 2 * 1024 * 1024
    MEMORY_MB = 128
    DESCRIPTORS = 300

    def setUp(self):
        self.stack = stack.small_stack(
            entries=1, engines=1, environment={"BRIARHINGE_MEMORY_MB": str(self.MEMORY_MB)},
            max_descriptors=self.DESCRIPTORS)
        self.url = self.stack.entries["entry-0"]
        host, port = self.url.removeprefix("http://").split(":")
        self.address = (host, int(port))

    def tearDown(self):
        self.stack.close()

    def assert_bounded(self):
        """Checks that the entry lives and has stayed within its machine."""
        process = self.stack.processes["entry-0"].popen
        self.assertIsNone(process.poll(), "entry-0 ended")
        self.assertLessEqual(crowd.peak_memory_mb(process.pid), self.MEMORY_MB, "memory of entry-0 in MB")
        self.assertLessEqual(crowd.descriptors(process.pid), self.DESCRIPTORS, "descriptors of entry-0")

    def assert_served(self, program):
        """Checks that an ordinary program is served, by the tries of a caller who honours promises."""
        answers = []
        for _ in range(ORDINARY_TRIES):
            caller = stack.Caller(self.url, program)
            try:
                answers.append(caller.open(timeout=ANSWER_TIMEOUT_S)[0])
                if answers[-1] == 200:
                    self.assertEqual(caller.model("hello")[0], 200)
                    return
            except OSError as error:
                answers.append(str(error))
            time.sleep(0.5)
        self.fail(f"an ordinary program was answered {answers}")

    def assert_holds_beside(self, payloads):
        """Checks a crowd while it is there and after it has left."""
        with crowd.Crowd.pressing(*self.address, payloads) as open_crowd:
            self.assert_served("beside")
            self.assert_bounded()
            # Each of these says that the request does not run, as a connection that closes without an answer does.
            self.assertLessEqual(open_crowd.statuses, {"none", "400", "408", "413", "431", "503"})
        self.assert_served("after")
        self.assert_bounded()

    def crowd(self, payload, fields=(CHUNKED,)):
        """Returns the bytes of a crowd that opens programs."""
        return (crowd.request_head("/v1/programs", f"crowd-{i}", fields) + payload for i in range(CALLERS))

    def test_large_chunks_that_stop_before_their_end(self):
        self.assert_holds_beside(self.crowd(crowd.chunked(b"x" * (self.BODY_BYTES - 1), LARGE_CHUNK_BYTES)))

    def test_announced_bodies_that_miss_a_byte(self):
        self.assert_holds_beside(
            self.crowd(b"x" * (self.BODY_BYTES - 1), fields=(f"Content-Length: {self.BODY_BYTES}",)))

    def test_bodies_over_the_limit_in_chunks(self):
        self.assert_holds_beside(self.crowd(crowd.chunked(b"x" * (3 * self.BODY_BYTES), LARGE_CHUNK_BYTES)))

    def test_trailers_without_end(self):
        trailers = b"0\r\n" + b"X-A: b\r\n" * 100_000
        self.assert_holds_beside(self.crowd(crowd.chunked(b"{}", LARGE_CHUNK_BYTES) + trailers))

    def test_idle_connections_beyond_the_descriptors(self):
        self.assert_holds_beside(b"" for _ in range(IDLE_CALLERS))


if __name__ == "__main__":
    unittest.main()
