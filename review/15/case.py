"""A route that a version of the configuration removes and a later one adds again, and a turn from before."""

import asyncio
import copy
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RETENTION_S = 300.0
# The turn's age when the route is removed.
AGE_S = 92
# For how long the route is gone; config_apply_ms is 2000.
GONE_S = 4
TRIES = 5


async def turn(deployment, entry, name, previous=None):
    """Sends a turn; returns its status, and whether it was answered whole."""
    fields = {"X-Request-Id": name, "X-Program-Id": "program-1", "X-Session-Id": "line-1",
              "X-Program-Deadline": "600000", "X-Token-Budget": "4000", "X-Token-Usage": "200,40",
              "X-Deadline-Remaining": "4000"}
    if previous:
        fields["X-Previous-Turn"] = previous
    status, _, answer = await deployment.send(entry, "POST", "/chat/a", fields, b"input\n")
    return status, status == 200 and answer is not None


async def case():
    deployment = standins.Deployment(FOLDER)
    config = copy.deepcopy(standins.CONFIG)
    config["routes"][0]["retention_s"] = RETENTION_S
    try:
        await deployment.start(config)
        first, second = deployment.entries
        _, is_whole = await turn(deployment, first, "turn-1")
        if not is_whole:
            raise standins.CannotRun("the first turn was not served")
        answered_at = time.monotonic()
        await asyncio.sleep(AGE_S)
        if TROUBLE:
            without = {**config, "version": 9, "routes": config["routes"][1:]}
            await deployment.store.put("op/config", json.dumps(without))
            deployment.record.write("config", version=9, routes="without /chat/")
        await asyncio.sleep(GONE_S)
        if TROUBLE:
            await deployment.store.put("op/config", json.dumps({**config, "version": 12}))
            deployment.record.write("config", version=12, routes="with /chat/")
        await asyncio.sleep(GONE_S)
        age = time.monotonic() - answered_at
        statuses = []
        for attempt in range(TRIES):
            status, is_whole = await turn(deployment, second, f"turn-2-{attempt}", "turn-1")
            statuses.append(status)
            if is_whole:
                break
            await asyncio.sleep(0.3)
        print(f"the turn was answered whole {age:.1f} s ago, the route keeps turns for {RETENTION_S:.0f} s: {statuses}")
        deployment.record.write("result", statuses=statuses, age_s=round(age, 1))
        return 404 not in statuses and 410 not in statuses
    finally:
        deployment.close()


standins.play(case)
