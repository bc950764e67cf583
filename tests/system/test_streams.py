"""Each caller gets the whole answer to its own request, whichever process is killed meanwhile."""

import concurrent.futures
import http.client
import json
import unittest

import stack

LONG = 400
SLOW_ENGINE = ("--step-us", "5000")
FLAGS = ("--lease-time", "1000", "--flush-interval", "100")


class Stream:
    """One streamed call, read event by event."""

    def __init__(self, entry, program, number, body):
        host, port = entry.removeprefix("http://").split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=60)
        self.connection.request("POST", f"/v1/programs/{program}/calls/{number}?stream=true", json.dumps(body))
        self.response = self.connection.getresponse()
        self.text = ""
        self.offset = 0
        self.end = None

    def read_event(self):
        """Reads one event; returns whether there was one."""
        name = self.response.readline().decode().strip()
        if not name:
            return False
        data = json.loads(self.response.readline().decode().removeprefix("data: "))
        self.response.readline()
        if name == "event: end":
            self.end = data
        else:
            self.offset = data["offset"]
            self.text = self.text[:data["offset"]] + data["text"]
        return True

    def read(self, until=None):
        """Reads to the end, or until the given number of bytes of the answer has arrived."""
        while self.end is None and (until is None or len(self.text) < until) and self.read_event():
            pass
        return self

    def close(self):
        """Closes the connection without reading the rest."""
        self.response.close()
        self.connection.close()


class StreamTest(unittest.TestCase):
    """Each test starts its own deployment, since most of them lose a process."""

    def setUp(self):
        self.stack = stack.small_stack(engine_flags=SLOW_ENGINE, entry_flags=FLAGS)
        self.addCleanup(self.stack.close)
        self.entries = list(self.stack.entries.values())
        self.reference = self.stack.engine("reference", "--step-us", "100", "--sequence-us", "1")
        self.caller = stack.Caller(self.entries[0], "stream-1")
        stack.wait_until(lambda: self.caller.open()[0] == 200, "the program to open")
        stack.wait_until(lambda: self.caller.model("hello")[0] == 200, "the first answer")
        self.body = {"type": "model", "model": "small", "input": f"tell me answer={LONG}", "maxTokens": LONG,
                     "extends": self.caller.history}

    def expected(self):
        """Returns the answer of an engine to the same prompt, sent to it directly."""
        first = json.loads(stack.send_request("GET", f"{self.entries[0]}/v1/programs/stream-1/calls/1")[1])["answer"]
        prompt = f"hello\n{first}\n{self.body['input']}\n"
        request = json.dumps({"model": "small", "max_tokens": LONG, "messages": [{"role": "user", "content": prompt}]})
        answer = ""
        for line in stack.send_request("POST", self.reference + "/v1/chat/completions", request)[1].splitlines():
            if line.startswith("data: {"):
                answer += "".join(choice["delta"]["content"] for choice in json.loads(line[6:])["choices"])
        return answer

    def stream(self, entry=0):
        """Starts the long call, or joins it."""
        stream = Stream(self.entries[entry], "stream-1", 2, self.body)
        self.addCleanup(stream.close)
        return stream

    def serving_engine(self):
        """Returns the number of the engine that runs the long call."""
        for i in range(2):
            if json.loads(stack.send_request("GET", self.stack.engines[f"engine-{i}"] + "/v1/account")[1])["running"]:
                return i
        return None

    def assert_whole(self, stream):
        """Checks that a stream ended with the whole answer and that its chunks add up to it."""
        self.assertIsNotNone(stream.end)
        self.assertEqual((stream.end["status"], stream.end["body"]["outcome"]), (200, "completed"))
        self.assertEqual(stream.end["body"]["answer"], self.expected())
        self.assertEqual(stream.text, stream.end["body"]["answer"])

    def test_two_callers_join_one_call(self):
        first = self.stream(0).read(until=20)
        second = self.stream(1)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            for done in [pool.submit(first.read), pool.submit(second.read)]:
                done.result()
        self.assert_whole(first)
        self.assert_whole(second)
        sent = [line for name in self.stack.engines if name != "reference" for line in self.stack.requests(name)]
        self.assertEqual(len([line for line in sent if line.startswith("stream-1 ")]), 2)

    def test_resume_from_an_offset_at_another_entry(self):
        first = self.stream(0).read(until=100)
        first.close()
        offset = len(first.text)
        path = f"{self.entries[1]}/v1/programs/stream-1/calls/2?stream=true&offset={offset}"
        status, text = stack.send_request("GET", path, timeout=60)
        self.assertEqual(status, 200)
        rest, end = "", None
        for event in text.strip().split("\n\n"):
            name, data = event.split("\n")
            data = json.loads(data.removeprefix("data: "))
            if name == "event: chunk":
                self.assertEqual(data["offset"], offset + len(rest))
                rest += data["text"]
            else:
                end = data["body"]
        self.assertEqual(first.text + rest, end["answer"])
        self.assertEqual(end["answer"], self.expected())

    def test_caller_that_goes_away_gets_the_answer_later(self):
        gone = self.stream(0).read(until=20)
        gone.close()
        status, text = stack.send_request("POST", f"{self.entries[1]}/v1/programs/stream-1/calls/2",
                                          json.dumps(self.body), 60)
        self.assertEqual((status, json.loads(text)["answer"]), (200, self.expected()))

    def test_runner_killed_in_mid_stream(self):
        stream = self.stream(0).read(until=100)
        self.stack.kill(f"runner-{self.serving_engine()}")
        self.assert_whole(stream.read())

    def test_engine_killed_in_mid_stream(self):
        stream = self.stream(0).read(until=100)
        self.stack.kill(f"engine-{self.serving_engine()}")
        self.assert_whole(stream.read())

    def test_entry_killed_in_mid_stream_the_other_one_answers(self):
        streams = [self.stream(0).read(until=50), self.stream(1).read(until=50)]
        self.stack.kill("entry-0")
        streams[1].read()

        def answered():
            status, text = stack.send_request("POST", f"{self.entries[1]}/v1/programs/stream-1/calls/2",
                                              json.dumps(self.body), 60)
            return status == 200 and json.loads(text)["answer"] == self.expected_after_takeover()
        stack.wait_until(answered, "the whole answer")

    def expected_after_takeover(self):
        """Returns the expected answer, read at the entry that is left."""
        self.entries[0] = self.entries[1]
        return self.expected()


if __name__ == "__main__":
    unittest.main()
