"""Invalid input gets a clear error, changes nothing and ends no process."""

import json
import random
import socket
import unittest

import stack

MAX_BODY_BYTES = 2 * 1024 * 1024


class BadInputTest(unittest.TestCase):
    """One deployment for all tests; after each of them every process runs and the program is unchanged."""

    @classmethod
    def setUpClass(cls):
        cls.stack = stack.small_stack()
        cls.entry = next(iter(cls.stack.entries.values()))
        cls.caller = stack.Caller(cls.entry, "whole")
        stack.wait_until(lambda: cls.caller.open()[0] == 200, "the program to open")
        stack.wait_until(lambda: cls.caller.model("hello")[0] == 200, "the first answer")

    @classmethod
    def tearDownClass(cls):
        cls.stack.close()

    def tearDown(self):
        for name, process in self.stack.processes.items():
            self.assertIsNone(process.popen.poll(), f"{name} ended")
        status, shown = self.caller.show()
        self.assertEqual((status, shown["history"], shown["nextCall"]), (200, self.caller.history, 2))

    def refusal(self, method, path, body):
        """Returns status, code and text of a refused request."""
        status, text = stack.send_request(method, self.entry + path, body)
        error = json.loads(text)["error"]
        return status, error["code"], error["text"]

    def assert_closed(self, host, port, data):
        """Sends bytes and the end of the stream; checks that the process closes the connection."""
        with socket.create_connection((host, int(port)), stack.START_TIMEOUT_S) as connection:
            connection.settimeout(stack.START_TIMEOUT_S)
            try:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                while connection.recv(4096):
                    pass
            except TimeoutError:
                self.fail(f"{host}:{port} keeps the connection open after {len(data)} bytes that mean nothing")
            except OSError:
                # The process closed the connection before everything was sent.
                pass

    def test_malformed_json_is_refused(self):
        for body in ("{", "", "[1]", "nul", '{"type":"model",}', "\xff", '{"type":"model"}{'):
            status, code, _ = self.refusal("POST", "/v1/programs/whole/calls/2", body)
            self.assertEqual(status, 400)
            self.assertIn(code, ("body-not-json", "body-not-object"))

    def test_wrong_types_name_the_field(self):
        good = {"type": "model", "model": "small", "input": "x", "extends": self.caller.history}
        for field, value in (("type", 5), ("model", []), ("input", {"a": 1}), ("maxTokens", "many"), ("maxTokens", -1),
                             ("maxCost", 1.5), ("idempotent", "yes"), ("extends", 3), ("colour", "red")):
            status, _, text = self.refusal("POST", "/v1/programs/whole/calls/2", json.dumps({**good, field: value}))
            self.assertEqual(status, 400)
            self.assertIn(f'"{field}"', text)

    def test_deeply_nested_field_is_refused(self):
        depth = MAX_BODY_BYTES // 2 - 100
        body = '{"id":' + "[" * depth + "]" * depth + "}"
        status, code, text = self.refusal("POST", "/v1/programs", body)
        self.assertEqual((status, code), (400, "field-type"))
        self.assertIn("an array", text)

    def test_oversized_body_is_refused_with_its_size(self):
        body = "x" * (MAX_BODY_BYTES + 1)
        status, code, text = self.refusal("POST", "/v1/programs/whole/calls/2", body)
        self.assertEqual((status, code), (400, "body-size"))
        self.assertIn(str(len(body)), text)

    def test_unknown_ids_and_paths_are_not_found(self):
        call = '{"type":"model","model":"small","input":"x"}'
        for method, path, body, status in (("GET", "/v1/programs/absent", None, 404),
                                           ("DELETE", "/v1/programs/absent", None, 404),
                                           ("POST", "/v1/programs/absent/calls/1", call, 404),
                                           ("GET", "/v1/programs/whole/calls/9", None, 404),
                                           ("POST", "/v1/programs/whole/calls/0", call, 400),
                                           ("POST", "/v1/programs/whole/calls/-1", call, 400),
                                           ("POST", "/v1/programs/whole/calls/99999999999999999999", call, 400),
                                           ("GET", "/v1/programs/whole/calls/1?offset=x", None, 400),
                                           ("GET", "/v1/programs/..", None, 400),
                                           ("POST", "/v1/nothing", "{}", 400)):
            self.assertEqual(self.refusal(method, path, body)[0], status, (method, path))

    def test_bad_ids_are_refused(self):
        for name in ("", ".", "a..b", "a b", "a/b", "ø", "x" * 201, "\u0000"):
            body = json.dumps({"id": name, "kind": "chat", "account": "huye"})
            self.assertEqual(self.refusal("POST", "/v1/programs", body)[0], 400)

    def test_random_bytes_at_the_frame_ports_close_only_their_connection(self):
        rng = random.Random(20261203)
        for vm in self.stack.vms:
            host, port = vm["address"].split(":")
            for length in (1, 4, 5, 64, 4096, 100_000):
                self.assert_closed(host, port, rng.randbytes(length))
        self.assertEqual(self.caller.show()[0], 200)

    def test_bad_frame_is_logged_with_its_number(self):
        host, port = self.stack.vms[0]["address"].split(":")
        with socket.create_connection((host, int(port)), stack.START_TIMEOUT_S) as connection:
            connection.sendall((8).to_bytes(4, "little") + b"no frame")
            connection.settimeout(stack.START_TIMEOUT_S)
            self.assertEqual(connection.recv(1), b"")
        name = self.stack.vms[0]["name"]
        stack.wait_until(lambda: any(event["event"] == 200 for event in self.stack.log(name)), "event 200")

    def test_bytes_that_are_no_http_close_only_their_connection(self):
        host, port = self.entry.removeprefix("http://").split(":")
        for data in (b"\x00\xff\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n",
                     b"POST /v1/programs HTTP/1.1\r\nContent-Length: x\r\n\r\n"):
            self.assert_closed(host, port, data)


if __name__ == "__main__":
    unittest.main()
