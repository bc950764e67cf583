"""The whole path of a call: caller, entry, runner process, upstream, and back."""

import json
import unittest

import stack


class WholePathTest(unittest.TestCase):
    """One program from its opening to its end through real processes."""

    @classmethod
    def setUpClass(cls):
        cls.stack = stack.small_stack()
        cls.entries = list(cls.stack.entries.values())

    @classmethod
    def tearDownClass(cls):
        cls.stack.close()

    def caller(self, name, entry=0):
        """Returns a caller whose program is open."""
        caller = stack.Caller(self.entries[entry], name)
        self.assertEqual(caller.open()[0], 200)
        return caller

    def test_program_with_model_and_tool_calls_is_served_at_any_entry(self):
        caller = self.caller("order-1")
        status, first = caller.model("which flavour for a weaning baby?")
        self.assertEqual((status, first["outcome"]), (200, "completed"))
        caller.entry = self.entries[1]
        status, charge = caller.tool("12 pouches")
        self.assertEqual((status, charge["outcome"]), (200, "completed"))
        status, last = caller.model("thank you")
        self.assertEqual(status, 200)
        self.assertGreater(last["usage"]["prompt"], first["usage"]["prompt"])
        self.assertEqual(self.stack.effects("orders").count("charge order-1 2"), 1)
        self.assertEqual(caller.show()[1]["nextCall"], 4)
        self.assertTrue(caller.end()[1]["ended"])

    def test_streamed_answer_is_the_whole_answer(self):
        caller = self.caller("order-2")
        body = json.dumps({"type": "model", "model": "small", "input": "tell me answer=40"})
        status, text = stack.send_request("POST", f"{caller.entry}/v1/programs/order-2/calls/1?stream=true", body)
        self.assertEqual(status, 200)
        streamed = ""
        end = None
        for event in text.strip().split("\n\n"):
            name, data = event.split("\n")
            data = json.loads(data.removeprefix("data: "))
            if name == "event: chunk":
                self.assertEqual(data["offset"], len(streamed))
                streamed += data["text"]
            else:
                end = data
        self.assertEqual(end["status"], 200)
        self.assertEqual(streamed, end["body"]["answer"])
        offset = 10
        status, text = stack.send_request("GET", f"{caller.entry}/v1/programs/order-2/calls/1?offset={offset}")
        self.assertEqual(json.loads(text)["answer"], streamed)

    def test_bad_requests_name_the_field(self):
        caller = self.caller("order-3")
        url = f"{caller.entry}/v1/programs/order-3/calls/1"
        for body, field in (('{"type":"model","model":"small"}', "input"), ('{"type":"poem"}', "type"),
                            ('{"type":"tool","tool":"charge","input":"x","colour":1}', "colour")):
            status, text = stack.send_request("POST", url, body)
            self.assertEqual(status, 400)
            self.assertIn(f'"{field}"', json.loads(text)["error"]["text"])
        self.assertEqual(stack.send_request("POST", url, "{")[0], 400)
        self.assertEqual(caller.show()[1]["nextCall"], 1)

    def test_call_to_an_unserved_model_was_not_run(self):
        caller = self.caller("order-4")
        status, reply = caller.model("hello", model="absent")
        self.assertEqual((status, reply["outcome"]), (503, "notRun"))
        self.assertGreater(reply["retryAfterMs"], 0)


if __name__ == "__main__":
    unittest.main()
