"""The store loses the answer to the pending watch of one entry, once. When the store has been stable for contact_ms again, a
configuration moves a route to another service and adds one, and a runner reports that it drains. Reads with
serializable=1 are some seconds old."""

import asyncio
import copy
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import deployment
from deployment import BROKEN, HELD, ROUTES, TROUBLE, call, configuration, new_id

STALENESS_S = 6.0
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
SERVICES = ("chat", "orders", "orders-two")


async def case(record):
    async with deployment.Deployment(record, entries=2, services=SERVICES) as system:
        store = system.store
        store.staleness = STALENESS_S
        entry = system.entries[0]
        moved = copy.deepcopy(ROUTES)
        next(route for route in moved if route["name"] == "unsafe")["service"] = "orders-two"
        moved.append({**ROUTES[2], "name": "added", "prefix": "/added/"})
        draining = next(runner for runner in system.runners if runner.service == "chat")
        await asyncio.sleep(STALENESS_S + 2)
        if TROUBLE:
            store.losing.add(entry.name)
        lost_at = store.put("op/config", configuration(2, services=SERVICES))
        record.say("configuration 2 is confirmed; it changes nothing but the services")
        await asyncio.sleep(CONTACT_S + 0.3)
        moved_at = store.put("op/config", configuration(3, moved, SERVICES))
        drained_at = draining.register("draining")
        record.say(f"configuration 3 and the draining of {draining.id} are confirmed {moved_at - lost_at:.1f} s later")
        old = missing = late = 0
        last = 0.0
        while time.monotonic() < moved_at + 10:
            sent_at = time.monotonic()
            requests = [("POST", "/unsafe/x"), ("GET", "/added/x")] + [("POST", "/stream/x")] * 3
            ids = [new_id() for _ in requests]
            replies = await asyncio.gather(*(
                call(entry.front, method, path, {"X-Request-Id": request_id, "X-Deadline-Remaining": "2000"}, b"")
                for (method, path), request_id in zip(requests, ids)), return_exceptions=True)
            age = sent_at - moved_at
            results = []
            for (_, path), request_id, reply in zip(requests, ids, replies):
                runners = [runner for runner, _ in system.runs(request_id)]
                status = reply[0] if isinstance(reply, tuple) else repr(reply)
                results.append(f"{path} {status} by {[runner.id for runner in runners]}")
                is_late = age > CONFIG_APPLY_S
                old += is_late and any(runner.service == "orders" for runner in runners) and path == "/unsafe/x"
                missing += is_late and path == "/added/x" and status == 404
                late += sent_at > drained_at + DRAIN_S and draining in runners
                if is_late and (draining in runners or status == 404):
                    last = age
            record.write(f"sent {age:.2f} s after the confirmation: {'; '.join(results)}")
            await asyncio.sleep(0.1)
        record.say(f"sent later than {CONFIG_APPLY_S} s after the confirmation: run by the old service {old}, answered "
                   f"404 though the route is there {missing}; sent to the draining runner later than {DRAIN_S} s after "
                   f"its confirmation: {late}; the last {last:.1f} s after it")
        return BROKEN if old or missing or late else HELD


deployment.run(case, __file__)
