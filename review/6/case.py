"""Programs send turns with inputs of 40 KB until the turn stores are about full. Then all turn stores are killed at the same
moment and start again with their disks, and as many turns come again. The platform ends a process that uses more than its
memory_mb and starts it again; the script does so by the resident memory that the kernel reports."""

import asyncio
import os
import re
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import deployment
from deployment import BROKEN, HELD, TROUBLE, call, new_id

CALLERS = 16
TURNS = 1700
RATE = 85
INPUT_BYTES = 40_000
RESTART_DELAY_S = 0.5
LAST_S = 12
TRIES = 6
# Of the rule: "on a tenth of the machines in use (two at least) processes end by themselves three times".
MACHINES = 2
ENDS = 3
INPUT = b"a word of what was said " * (INPUT_BYTES // 24)


def resident_mb(process):
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            found = re.search(r"VmRSS:\s+(\d+) kB", status.read())
        return int(found.group(1)) / 1024 if found else 0
    except OSError:
        return 0


class Platform:
    """Ends a process of the system that uses more than its memory, and starts it again after a short delay."""

    def __init__(self, record, system):
        self.record, self.system = record, system
        self.ends = {node.name: 0 for node in system.nodes}
        self.peak = {node.name: 0 for node in system.nodes}
        # While the script itself kills and starts processes.
        self.is_paused = False

    async def run(self):
        due = {}
        while True:
            for node in [] if self.is_paused else self.system.nodes:
                if node.name in due:
                    if time.monotonic() >= due[node.name]:
                        del due[node.name]
                        node.start()
                    continue
                if node.process.poll() is not None:
                    self.record.say(f"{node.name} has ended by itself with {node.process.returncode}")
                    self.ends[node.name] += 1
                    due[node.name] = time.monotonic() + RESTART_DELAY_S
                    continue
                used = resident_mb(node.process)
                self.peak[node.name] = max(self.peak[node.name], used)
                if used > node.memory_mb:
                    self.record.say(f"{node.name} uses {used:.0f} MB of {node.memory_mb}: the platform ends it")
                    self.ends[node.name] += 1
                    node.end()
                    due[node.name] = time.monotonic() + RESTART_DELAY_S
            await asyncio.sleep(0.05)


async def send_turn(record, entry, previous=None):
    fields = {"X-Request-Id": new_id(), "X-Program-Id": new_id(), "X-Session-Id": "s", "X-Token-Usage": "10000,100",
              "X-Program-Deadline": "5000", "X-Deadline-Remaining": "4000", "X-Token-Budget": "4000"}
    if previous:
        fields["X-Previous-Turn"] = previous
    try:
        status, _, _ = await call(entry.front, "POST", "/turn/a", fields, INPUT)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    if previous:
        record.write(f"client: turn {fields['X-Request-Id']} continues {previous} by {entry.name}: {status}")
    return fields["X-Request-Id"], status


async def load(record, system, number):
    """Sends turns of ever other programs; returns those that were answered whole, with the time."""
    counts, kept = {}, []
    start = time.monotonic()

    async def caller(first):
        for i in range(first, TURNS, CALLERS):
            await asyncio.sleep(max(0.0, start + i / RATE - time.monotonic()))
            turn, status = await send_turn(record, system.entries[i % 2])
            counts[status] = counts.get(status, 0) + 1
            if status == 200:
                kept.append((time.monotonic(), turn))

    await asyncio.gather(*(caller(i) for i in range(CALLERS)))
    record.say(f"load {number}: {TURNS} turns with inputs of {INPUT_BYTES} B in {time.monotonic() - start:.1f} s, answered {counts}")
    return kept


async def case(record):
    async with deployment.Deployment(record, entries=2, runners=3) as system:
        for runner in system.runners:
            runner.event_interval = 0.005
        platform = Platform(record, system)
        watcher = asyncio.ensure_future(platform.run())
        kept = await load(record, system, 1)
        if TROUBLE:
            platform.is_paused = True
            for node in system.stores:
                node.signal(signal.SIGKILL)
            for node in system.stores:
                node.process.wait()
            record.say("all turn stores are killed")
            await asyncio.sleep(0.3)
            for node in system.stores:
                node.start()
            platform.is_paused = False
        await asyncio.sleep(4)
        kept += await load(record, system, 2)
        await asyncio.sleep(LAST_S)
        statuses = []
        for i in range(TRIES):
            at, turn = kept[-1 - 10 * i]
            _, status = await send_turn(record, system.entries[i % 2], turn)
            statuses.append((round(time.monotonic() - at), status))
            await asyncio.sleep(1)
        watcher.cancel()
        record.say(f"turns answered whole are continued, (age in s, status): {statuses}")
        record.say(f"peak MB {({name: round(mb) for name, mb in platform.peak.items()})}; ends {platform.ends}")
        ended_often = [name for name, ends in platform.ends.items() if ends >= ENDS]
        return BROKEN if len(ended_often) >= MACHINES else HELD


deployment.run(case, __file__)
