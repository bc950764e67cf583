"""A conversation whose turns follow each other within the retention, over a rolling restart of the turn stores."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A store is down for this long, as between the SIGTERM of a planned restart and the next start.
DOWN_S = 1.0
# catch_up_s of the settings, after which the store that is back counts as sound again.
CATCH_UP_S = 4.3
# The pauses between the turns after the restarts; the retention of the route is 60 s.
PAUSES_S = (30, 30, 30)
TRIES = 5


class Conversation:
    """One line of turns, each of which continues from the one before."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.previous = None
        self.answered_at = None
        self.prompt = b""
        self.count = 0
        self.attempts = 0

    def fields(self):
        self.attempts += 1
        fields = {"X-Request-Id": f"turn-{self.count}-{self.attempts}", "X-Program-Id": "program-1",
                  "X-Session-Id": "line-1", "X-Program-Deadline": "200000", "X-Token-Budget": "4000",
                  "X-Token-Usage": "200,40", "X-Deadline-Remaining": "4000"}
        if self.previous:
            fields["X-Previous-Turn"] = self.previous
        return fields

    async def turn(self, entry, tries=1):
        """Runs the next turn; returns whether it reached a runner with the whole chain and was answered whole."""
        self.count += 1
        body = b"input %d\n" % self.count
        for attempt in range(tries):
            fields = self.fields()
            status, headers, answer = await self.deployment.send(entry, "POST", "/chat/a", fields, body)
            if status == 200 and answer is not None:
                break
            await asyncio.sleep(float(headers.get("retry-after", "0.3")))
        else:
            return False
        request = fields["X-Request-Id"]
        bodies = [run[2] for runner in self.deployment.runners for run in runner.runs if run[0] == request]
        expected = self.prompt + body
        if bodies != [expected]:
            print("the runner got", bodies, "instead of", expected)
            return False
        output = b"".join(line[6:] + b"\n" for line in answer.split(b"\n") if line.startswith(b"data: "))
        self.prompt = expected + output
        self.previous = request
        self.answered_at = time.monotonic()
        return True


async def first_turn(deployment, entry, number):
    """Sends the first turn of another program; returns whether it was served."""
    fields = {"X-Request-Id": f"first-{number}", "X-Program-Id": f"other-{number}", "X-Session-Id": f"other-{number}",
              "X-Program-Deadline": "20000", "X-Token-Budget": "400", "X-Token-Usage": "200,40",
              "X-Deadline-Remaining": "4000"}
    status, _, answer = await deployment.send(entry, "POST", "/chat/a", fields, b"hello\n")
    return status == 200 and answer is not None


async def case():
    deployment = standins.Deployment(FOLDER)
    try:
        await deployment.start()
        start, later = deployment.entries
        line = Conversation(deployment)
        # The second entry serves the line from its second turn on: it arrives through another zone.
        served = await line.turn(start)
        for store in deployment.stores:
            if TROUBLE:
                store.signal(signal.SIGTERM)
                await store.ended()
            ended_at = time.monotonic()
            served = served and await line.turn(later, TRIES)
            await asyncio.sleep(max(0, ended_at + DOWN_S - time.monotonic()))
            if TROUBLE:
                store.start()
            await asyncio.sleep(CATCH_UP_S)
        if not served:
            raise standins.CannotRun("a turn before the check was not served")
        for pause in PAUSES_S[:-1]:
            await asyncio.sleep(pause)
            if not await line.turn(later, TRIES):
                raise standins.CannotRun("a turn before the check was not served")
        await asyncio.sleep(PAUSES_S[-1])
        age = time.monotonic() - line.answered_at
        firsts = [await first_turn(deployment, later, number) for number in range(10)]
        held = await line.turn(later, TRIES)
        print(f"first turns served: {sum(firsts)} of 10; the turn that is continued was answered whole {age:.1f} s ago")
        if sum(firsts) < 9:
            raise standins.CannotRun("first turns are not served")
        return held
    finally:
        deployment.close()


standins.play(case)
