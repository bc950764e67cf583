"""Runs one deployment of real processes under one load and collects the measurements."""

import asyncio
import dataclasses
import json
import os
import resource
import time

import stack
from measurement import client, workload

POLL_INTERVAL_S = 0.25
HOLD_GRACE_PERIOD_S = 2.0
ENGINE_FLAGS = ("--step-us", "10000", "--sequence-us", "500", "--prefill-ns", "40000", "--batch", "8",
                "--cache-tokens", "24000", "--threads", "24")
RUNNER_FLAGS = ("--concurrency", "8", "--io-threads", "1", "--http-threads", "4", "--engine-cache-tokens", "24000")
PRIORITIES = {"high": 100, "normal": 50, "low": 0}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The processes of one run, their flags and the fault to inject."""

    engines: int = 3
    entries: int = 2
    entry_flags: tuple = ()
    runner_flags: tuple = ()
    fault: str = ""


def declare(running):
    """Applies a declaration with the priorities of the kinds and waits until it is in force everywhere."""
    budget = {"tokens": 100_000_000, "money": 1_000_000, "calls": 1000}
    kinds = [{"name": kind.name, "priority": PRIORITIES[kind.group], "budget": budget, "wallTime": "1h",
              "cacheWeight": 0.1}
             for kind in workload.KINDS]
    path = running.path("declaration.json")
    with open(path, "w", encoding="utf-8") as declaration:
        json.dump({"deployment": "measure", "kinds": kinds, "pools": [], "accounts": []}, declaration)
    code, _, errors = running.ctl("apply", path, "--wait")
    if code != 0:
        raise RuntimeError(f"the declaration was refused: {errors}")


def start(deployment):
    """Starts the processes of a deployment over two zones."""
    running = stack.Stack()
    try:
        for i in range(deployment.engines):
            url = running.engine(f"engine-{i}", *ENGINE_FLAGS)
            running.runner(f"runner-{i}", "rwc-" + "ab"[i % 2], url, "engine", "chat", ["small"],
                           *RUNNER_FLAGS, *deployment.runner_flags)
        tool = running.tool("orders")
        running.runner("runner-orders", "rwc-a", tool, "tool", "orders", ["charge"], *RUNNER_FLAGS)
        for i in range(deployment.entries):
            running.entry(f"entry-{i}", "rwc-" + "ab"[i % 2], *deployment.entry_flags)
        running.publish()
        running.wait_ready()
        declare(running)
    except BaseException:
        running.close()
        raise
    return running


def _process_usage(process):
    """Returns seconds of processor time and megabytes of memory of a process."""
    with open(f"/proc/{process.popen.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process.popen.pid}/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * resource.getpagesize() / 1e6


def usage(running, prefix):
    """Returns processor seconds and megabytes summed over the processes whose name has a prefix."""
    found = [_process_usage(process) for name, process in running.processes.items()
             if name.startswith(prefix) and process.popen.poll() is None]
    return sum(cpu for cpu, _ in found), sum(memory for _, memory in found)


class HeldCache:
    """Integrates over time the tokens that engines hold for ended programs."""

    def __init__(self, running, tally):
        self.running = running
        self.tally = tally
        self.token_seconds = 0.0
        self.overdue_token_seconds = 0.0

    async def poll(self):
        """Polls the engines until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
            for url in self.running.engines.values():
                try:
                    _, text = await client.exchange("GET", url + "/v1/account", "")
                except (OSError, asyncio.IncompleteReadError):
                    continue
                for user, tokens in json.loads(text)["held"].items():
                    self._count(user, tokens, now)

    def _count(self, user, tokens, now):
        ended = self.tally.ended_at.get(user)
        if ended is None:
            return
        self.token_seconds += tokens * POLL_INTERVAL_S
        if now - ended > HOLD_GRACE_PERIOD_S:
            self.overdue_token_seconds += tokens * POLL_INTERVAL_S


async def _inject(running, fault, at_s):
    """Injects a fault during a run."""
    await asyncio.sleep(at_s)
    if fault == "engine-killed":
        running.kill("engine-0")
    elif fault == "engine-frozen":
        running.pause("engine-0")
    elif fault == "zone-cut":
        for name in ("runner-1", "engine-1", "runner-3", "engine-3"):
            running.pause(name)
    elif fault == "key-value-down":
        await asyncio.to_thread(running.faults, outage=True)


async def _drive(running, deployment, plans, seconds, drain_s):
    tally = client.Tally()
    held = HeldCache(running, tally)
    poller = asyncio.create_task(held.poll())
    injector = asyncio.create_task(_inject(running, deployment.fault, seconds / 3))
    entries = list(running.entries.values())
    started_at = time.monotonic()
    tasks = [asyncio.create_task(client.run_plan(entries, plan, tally, started_at)) for plan in plans]
    _, unfinished = await asyncio.wait(tasks, timeout=seconds + drain_s)
    ended = time.monotonic()
    for task in unfinished:
        task.cancel()
    poller.cancel()
    injector.cancel()
    await asyncio.gather(poller, injector, *unfinished, return_exceptions=True)
    for program in tally.programs:
        if not program.ended:
            program.ended = ended
    return tally, held, started_at, ended


def _key_value_calls(counts):
    """Returns the number of key-value calls; a waiting watch counts as one."""
    return counts["reads"] + counts["writes"] + counts["watches"]


def percentile(values, share):
    """Returns a percentile by nearest rank, or 0 when there is no value."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _latencies(row, tally):
    for group in ("all", "high", "normal", "low"):
        chosen = [program for program in tally.programs if group in ("all", program.group)]
        done = [program for program in chosen if program.complete]
        calls = [call for call in tally.calls if group in ("all", call.group)]
        # A program that did not finish in time, or gave up, counts with the time that it has spent in calls so far.
        row[f"programs_{group}"] = len(chosen)
        row[f"complete_{group}"] = len(done)
        for share in (50, 95, 99):
            row[f"p{share}_{group}"] = percentile([program.calls_s for program in chosen], share / 100)
            row[f"with_pauses_p{share}_{group}"] = percentile(
                [program.ended - program.started_at for program in chosen], share / 100)
            row[f"first_token_p{share}_{group}"] = percentile([call.first_token_s for call in calls], share / 100)


def run(deployment, seed, rate, seconds, drain_s):
    """Runs one load on one deployment; returns a row of measurements."""
    plans = workload.plans(seed, rate, seconds)
    running = start(deployment)
    try:
        key_value_calls = _key_value_calls(running.counts())
        before = {prefix: usage(running, prefix)[0] for prefix in ("entry", "runner", "engine")}
        load_tool_cpu_s = time.process_time()
        tally, held, started_at, ended = asyncio.run(_drive(running, deployment, plans, seconds, drain_s))
        load_tool_cpu_s = time.process_time() - load_tool_cpu_s
        row = {"seed": seed, "rate": rate, "fault": deployment.fault, "duration_s": ended - started_at}
        _latencies(row, tally)
        prompt = max(1, sum(call.prompt for call in tally.calls))
        row["cached_share"] = sum(call.cached for call in tally.calls) / prompt
        row["wasted_share"] = sum(call.wasted for call in tally.calls) / prompt
        row["wasted_tokens"] = sum(call.wasted for call in tally.calls)
        row["held_ended_token_s"] = held.token_seconds
        row["held_ended_past_2s_token_s"] = held.overdue_token_seconds
        in_window = [call for call in tally.calls if call.ended <= started_at + seconds]
        row["calls_per_s"] = len(in_window) / seconds
        row["programs_per_s"] = sum(program.complete for program in tally.programs) / (ended - started_at)
        row["refusals"] = tally.refusals
        row["outcomes"] = " ".join(f"{name}:{count}" for name, count in sorted(tally.outcomes.items()))
        for prefix, cpu in before.items():
            after, memory = usage(running, prefix)
            row[f"{prefix}_cores"] = (after - cpu) / (ended - started_at)
            row[f"{prefix}_mb"] = memory
        row["load_tool_cores"] = load_tool_cpu_s / (ended - started_at)
        key_value_calls = _key_value_calls(running.counts()) - key_value_calls
        row["key_value_per_s"] = key_value_calls / (ended - started_at)
        row["machine_load"] = os.getloadavg()[0]
        return row
    finally:
        running.close()
