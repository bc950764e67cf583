"""An entry that is stopped with SIGTERM while callers are at any point of a request."""

import http.client
import json
import os
import random
import signal
import socket
import threading
import time
import unittest

import platformstack

GRACE_S = 8
# Of the routes in platformstack.ROUTING.
STREAM_TIMEOUT_S = 4
UNSAFE_TIMEOUT_S = 2
ANSWER_TIMEOUT_S = 12
SEED = int(os.environ.get("BRIARHINGE_STOP_SEED", "1"))
DRAWN_CALLERS = 24


class Caller(threading.Thread):
    """Sends the first part of a request at one time and its last byte at another, in seconds after SIGTERM."""

    def __init__(self, address, number, path, begin, finish):
        super().__init__(daemon=True)
        self.address = address
        self.path = f"{path}/{number}"
        self.begin = begin
        self.finish = finish
        self.origin = 0
        self.status = None
        self.fields = {}

    def __str__(self):
        return f"{self.path} from {self.begin:.2f} to {self.finish:.2f} s: {self.status}"

    def request(self):
        """Returns the bytes of the request."""
        body = "x" * 1000
        usage = "X-Token-Usage: 100,40\r\nX-Program-Id: p\r\n" if self.path.startswith("/stream/") else ""
        return (f"POST {self.path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {self.path}\r\n{usage}"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()

    def sleep_until(self, at):
        """Waits for a time after SIGTERM."""
        time.sleep(max(0.0, self.origin + at - time.monotonic()))

    def run(self):
        """Sends the request; the status stays None unless a whole answer comes."""
        data = self.request()
        self.sleep_until(self.begin)
        try:
            with socket.create_connection(self.address, timeout=ANSWER_TIMEOUT_S) as connection:
                connection.sendall(data[:-500])
                self.sleep_until(self.finish)
                connection.sendall(data[-500:])
                response = http.client.HTTPResponse(connection)
                response.begin()
                response.read()
                self.status, self.fields = response.status, response.headers
        except (OSError, http.client.HTTPException):
            pass


class PlannedStopTest(unittest.TestCase):
    """Nobody's request is run without a whole answer, and each refusal is true."""

    def setUp(self):
        self.stack = platformstack.PlatformStack(entries=2, runners=3)
        self.addCleanup(self.stack.close)
        self.address = (self.stack.entries["entry-0"], platformstack.CALLER_PORT)
        # Answers begin long before the timeouts, as on the users' routes.
        routes = [{**route, "target_latency_ms": 200} for route in self.stack.routing["routes"]]
        self.stack.put("op/config", json.dumps({**self.stack.routing, "version": 4, "routes": routes}))
        platformstack.stack.wait_until(lambda: any(
            line["name"] == "routes-in-force" and line["version"] == 4 for line in self.stack.log("entry-0")), "routes")

    def stop_among(self, callers):
        """Stops an entry while callers send, and checks what holds for each of them and that the process is gone."""
        origin = time.monotonic() + 1.5
        for caller in callers:
            caller.origin = origin
            caller.start()
        time.sleep(max(0.0, origin - time.monotonic()))
        process = self.stack.processes["entry-0"]
        process.signal(signal.SIGTERM)
        self.assertEqual(process.wait(GRACE_S), 0)
        self.assertLess(time.monotonic() - origin, GRACE_S)
        for caller in callers:
            caller.join()
            with self.subTest(str(caller)):
                self.assertIn(caller.status, (200, 503, None))
                self.assertEqual(self.stack.executed(caller.path), 1 if caller.status == 200 else 0)
                if caller.status == 503:
                    self.assertIn("Retry-After", caller.fields)

    # Guards against streams that are taken too late in the grace, run and cut (LOST), and against refusals of what fits.
    def test_what_can_end_in_time_is_served_and_all_else_is_not_run(self):
        numbers = iter(range(100))
        stream, unsafe, safe = "/stream/work=3600", "/unsafe/work=1600", "/safe/work=100"
        served = [Caller(self.address, next(numbers), path, begin, finish) for path, begin, finish in [
            (stream, -1, -0.5), (stream, -1, 1), (stream, 0.5, 2), (stream, 2, 3),
            (unsafe, -1, 0.5), (unsafe, 2, 3), (unsafe, 2, 5), (safe, 1, 1), (safe, 2, 5)]]
        refused = [Caller(self.address, next(numbers), path, begin, finish) for path, begin, finish in [
            (stream, 0, 4), (stream, 2, 5), (stream, 2, 6), (unsafe, 2, 6)]]
        unfinished = [Caller(self.address, next(numbers), stream, begin, GRACE_S + 1) for begin in (-1, 1)]
        self.stop_among(served + refused + unfinished)
        for caller in served:
            self.assertEqual(caller.status, 200, str(caller))
        for caller in refused:
            self.assertEqual(caller.status, 503, str(caller))
        for caller in unfinished:
            self.assertIsNone(caller.status, str(caller))

    def test_drawn_callers(self):
        draw = random.Random(SEED)
        callers = []
        for number in range(DRAWN_CALLERS):
            path, timeout = draw.choice((("/stream", STREAM_TIMEOUT_S), ("/unsafe", UNSAFE_TIMEOUT_S)))
            begin = draw.uniform(-1, 3)
            work = int(draw.uniform(0, timeout - 0.3) * 1000)
            callers.append(Caller(self.address, number, f"{path}/work={work}", begin, draw.uniform(begin, GRACE_S)))
        self.stop_among(callers)


if __name__ == "__main__":
    print(f"seed {SEED}")
    unittest.main()
