"""A small asynchronous HTTP client and the caller of one program on it."""

import asyncio
import dataclasses
import json
import time

from measurement import workload

REQUEST_TIMEOUT_S = 120
TOKENS_PER_BLOCK = 16
MAX_REFUSALS = 8
DEFAULT_RETRY_DELAY_S = 0.5


async def _body_chunks(reader, headers):
    """Yields the chunks of a chunked body, or the whole body of known length."""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            if size == 0:
                return
            yield await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        yield await reader.readexactly(int(headers.get("content-length", "0")))


async def exchange(method, url, body, on_chunk=None):
    """Sends one request; returns status and body."""
    address, path = url.removeprefix("http://").split("/", 1)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = body.encode()
        head = f"{method} /{path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + data)
        status = int((await reader.readline()).split()[1])
        headers = {}
        while line := (await reader.readline()).strip():
            name, value = line.decode().split(":", 1)
            headers[name.lower()] = value.strip().lower()
        content = b""
        async for chunk in _body_chunks(reader, headers):
            if on_chunk:
                on_chunk()
            content += chunk
        return status, content
    finally:
        writer.close()


@dataclasses.dataclass
class Call:
    """Measurements of one model call; prompt, cached and wasted are tokens."""

    group: str
    started_at: float
    ended: float
    first_token_s: float
    prompt: int
    cached: int
    wasted: int


class Tally:
    """Measurements of one run."""

    def __init__(self):
        self.calls = []
        self.programs = []
        self.refusals = 0
        self.outcomes = {}
        self.ended_at = {}

    def count_outcome(self, name):
        """Counts one outcome of a call."""
        self.outcomes[name] = self.outcomes.get(name, 0) + 1


@dataclasses.dataclass
class Program:
    """Measurements of one program."""

    group: str
    started_at: float
    ended: float = 0.0
    calls_s: float = 0.0
    complete: bool = False


class GaveUp(Exception):
    """The program can't continue."""


class Caller:
    """Makes the calls of one program, or of one of its sub-agents."""

    def __init__(self, entries, name, kind, tally, parent=None):
        self.entries = entries
        self.name = name
        self.kind = kind
        self.tally = tally
        self.parent = parent
        self.number = 0
        self.history = None
        self.reusable_tokens = workload.SYSTEM_PROMPT_TOKENS

    def _entry(self):
        return self.entries[self.number % len(self.entries)]

    async def open(self):
        """Opens the program."""
        body = {"id": self.name, "kind": self.kind.name, "account": "measure"}
        if self.parent:
            body["parent"] = self.parent
        status, text = await exchange("POST", self._entry() + "/v1/programs", json.dumps(body))
        if status != 200:
            raise GaveUp(text)

    async def end(self):
        """Ends the program."""
        self.tally.ended_at[self.name] = time.monotonic()
        await exchange("DELETE", f"{self._entry()}/v1/programs/{self.name}", "")

    async def _make_call(self, body):
        """Makes the next call and repeats it after a refusal; returns the reply and the time of the first chunk."""
        self.number += 1
        if self.history:
            body["extends"] = self.history
        for _ in range(MAX_REFUSALS):
            first = []
            status, text = await exchange(
                "POST", f"{self._entry()}/v1/programs/{self.name}/calls/{self.number}?stream=true", json.dumps(body),
                lambda times=first: times.append(time.monotonic()))
            if b"event: end" in text:
                end = json.loads(text.rsplit(b"data: ", 1)[1])
                status, reply = end["status"], end["body"]
            else:
                reply = json.loads(text)
            outcome = reply.get("outcome", f"status {status}")
            self.tally.count_outcome(outcome)
            if outcome != "notRun":
                break
            self.tally.refusals += 1
            await asyncio.sleep(reply.get("retryAfterMs", DEFAULT_RETRY_DELAY_S * 1000) / 1000)
        if outcome != "completed":
            raise GaveUp(outcome)
        self.history = reply["history"]
        return reply, first[0]

    async def model(self, text):
        """Makes a model call; returns the seconds it took."""
        started_at = time.monotonic()
        reply, first = await self._make_call({"type": "model", "model": "small", "input": text})
        ended = time.monotonic()
        usage = reply["usage"]
        reusable_tokens = self.reusable_tokens // TOKENS_PER_BLOCK * TOKENS_PER_BLOCK
        wasted = max(0, min(reusable_tokens, usage["prompt"]) - usage["cached"])
        self.tally.calls.append(Call(self.kind.group, started_at, ended, first - started_at, usage["prompt"],
                                     usage["cached"], wasted))
        self.reusable_tokens = usage["prompt"]
        return ended - started_at

    async def charge(self):
        """Makes a non-idempotent tool call; returns the seconds it took."""
        started_at = time.monotonic()
        await self._make_call({"type": "tool", "tool": "charge", "input": "12 pouches", "idempotent": False})
        return time.monotonic() - started_at

    async def run(self, turns, charge_after=-1, program=None):
        """Runs the turns; returns the seconds spent in calls on the critical path, also stored in the given program."""
        spent = 0.0
        for number, turn in enumerate(turns):
            await asyncio.sleep(turn.pause_s)
            if turn.children:
                spent += max(await asyncio.gather(*(self._child(number, index, child)
                                                    for index, child in enumerate(turn.children))))
            spent += await self.model(turn.text)
            if number == charge_after:
                spent += await self.charge()
            if program:
                program.calls_s = spent
        return spent

    async def _child(self, number, index, turns):
        child = Caller(self.entries, f"{self.name}.s{number}-{index}", self.kind, self.tally, self.name)
        await child.open()
        spent = await child.run(turns)
        await child.end()
        return spent


async def run_plan(entries, plan, tally, started_at):
    """Waits for the arrival of one program and runs it."""
    await asyncio.sleep(max(0.0, started_at + plan.arrival_s - time.monotonic()))
    program = Program(plan.kind.group, time.monotonic())
    tally.programs.append(program)
    caller = Caller(entries, plan.name, plan.kind, tally)
    try:
        await caller.open()
        program.calls_s = await caller.run(plan.turns, plan.charge_after, program)
        program.complete = True
    except (GaveUp, OSError, asyncio.IncompleteReadError, json.JSONDecodeError, KeyError, IndexError) as error:
        tally.count_outcome("gave up: " + type(error).__name__)
    program.ended = time.monotonic()
    try:
        await caller.end()
    except (OSError, asyncio.IncompleteReadError):
        tally.count_outcome("end failed")
