"""A soak: crowds, ordinary callers on kept connections, signals, restarts and changes of the configuration overlap.

All choices come from the seed. By hand: tests/system/crowdsoak.py --seeds 1-50 --seconds 20
"""

import argparse
import collections
import http.client
import itertools
import json
import random
import signal
import sys
import threading
import time

import crowd
import platformstack
import stack

BODY_BYTES = 400_000
LIMITS = {"memory_mb": 64, "max_fds": 400}
REQUEST_LIMITS = {"max_body_bytes": BODY_BYTES, "header_timeout_ms": 1000, "idle_timeout_ms": 3000}
ENTRIES = 2
ORDINARY_CALLERS = 4
CROWDS = 2
OPERATORS = 2
# An ordinary request that takes longer hangs.
HANG_S = 30
# Statuses that promise that the request has not run and is not going to.
PROMISES = {"408", "421", "429", "503"}
CHUNK_BYTES = (16, 1000, 65_536)


class Soak:
    """One run; the threads stop at its end."""

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.stack = platformstack.PlatformStack(entries=ENTRIES, runners=2, limits=LIMITS, request_limits=REQUEST_LIMITS)
        self.faults = []
        self.refused = set()
        self.statuses = collections.Counter()
        self.is_over = threading.Event()
        self.versions = itertools.count(self.stack.routing["version"] + 1)
        # Held while an entry is stopped, killed or started.
        self.entry_locks = {name: threading.Lock() for name in self.stack.entries}
        self.version_lock = threading.Lock()

    def random(self, role, number):
        """Returns the source of the choices of one thread."""
        return random.Random(f"{self.seed} {role} {number}")

    def note(self, request, status):
        """Records the answer to a request; "none" for a connection that closed without one."""
        self.statuses[status] += 1
        if status in PROMISES:
            self.refused.add(request)

    def call(self, number):
        """Sends ordinary requests on one connection until it ends, then on one to the next entry."""
        choices = self.random("caller", number)
        hosts = itertools.cycle(choices.sample(sorted(self.stack.entries.values()), ENTRIES))
        connection = None
        for count in itertools.count():
            if self.is_over.is_set():
                if connection is not None:
                    connection.close()
                return
            if connection is None:
                connection = http.client.HTTPConnection(next(hosts), platformstack.CALLER_PORT, timeout=HANG_S)
            path = choices.choice(("/safe/x", "/unsafe/x", "/turn/x"))
            name = f"ordinary-{number}-{count}"
            fields = {"Host": "h", "X-Request-Id": name}
            if path.startswith("/turn/"):
                fields.update({"X-Token-Usage": "100,40", "X-Program-Id": name})
            try:
                connection.request("GET" if path.startswith("/safe/") else "POST", path, "hello", fields)
                response = connection.getresponse()
                response.read()
                self.note(name, str(response.status))
                is_closed = response.will_close
            except TimeoutError:
                self.faults.append(f"{name} had no answer in {HANG_S} s")
                is_closed = True
            except (OSError, http.client.HTTPException):
                self.note(name, "none")
                is_closed = True
            if is_closed:
                connection.close()
                connection = None
            time.sleep(choices.uniform(0, 0.05))

    def payload(self, choices, name):
        """Returns the bytes of one kind of caller that doesn't behave."""
        kind = choices.choice(("idle", "head", "chunks", "length", "whole", "over", "trailers"))
        data = b"x" * choices.choice((100, 5000, BODY_BYTES - 1))
        chunks = crowd.chunked(data, choices.choice(CHUNK_BYTES if len(data) < BODY_BYTES // 2 else CHUNK_BYTES[1:]))
        path = choices.choice(("/safe/crowd", "/unsafe/crowd"))
        head = crowd.request_head(path, name, ("Transfer-Encoding: chunked",))
        if kind == "idle":
            return b""
        if kind == "head":
            return head[:-2]
        if kind == "length":
            return crowd.request_head(path, name, (f"Content-Length: {len(data) + 1}",)) + data
        if kind == "whole":
            return head + chunks + b"0\r\n\r\n"
        if kind == "over":
            return head + crowd.chunked(b"x" * (2 * BODY_BYTES), 65_536)
        return head + chunks + (b"0\r\n" + b"X-A: b\r\n" * 5000 if kind == "trailers" else b"")

    def press(self, number):
        """Opens one crowd after the other."""
        choices = self.random("crowd", number)
        for count in itertools.count():
            if self.is_over.is_set():
                return
            size = choices.choice((20, 100, 450))
            names = [f"crowd-{number}-{count}-{i}" for i in range(size)]
            host = choices.choice(sorted(self.stack.entries.values()))
            callers = crowd.Crowd(host, platformstack.CALLER_PORT, (self.payload(choices, name) for name in names))
            try:
                callers.press(limit=3, settle=0.3)
                for index, status in callers.answers.items():
                    self.note(names[index], status)
                self.is_over.wait(choices.uniform(0, 1.5))
            finally:
                callers.close()

    def check_entry(self, name):
        """Checks that an entry runs within its machine."""
        process = self.stack.processes[name].popen
        if process.poll() is not None:
            self.faults.append(f"{name} ended by itself with {process.returncode}")
            return
        memory = crowd.peak_memory_mb(process.pid)
        if memory > LIMITS["memory_mb"]:
            self.faults.append(f"{name} used {memory:.0f} MB")
        if crowd.descriptors(process.pid) > LIMITS["max_fds"]:
            self.faults.append(f"{name} has {crowd.descriptors(process.pid)} descriptors")

    def end_entry(self, name, number):
        """Ends an entry by a signal and starts it again."""
        process = self.stack.processes[name]
        self.check_entry(name)
        process.signal(number)
        process.wait()
        process.start()

    def reload(self, name):
        """Sends SIGHUP to an entry once its program has begun to run: before that the signal ends any process."""
        process = self.stack.processes[name]
        with open(f"/proc/{process.popen.pid}/status", encoding="utf-8") as lines:
            masks = {line.split(":")[0]: line.split()[1] for line in lines if line.startswith(("SigBlk:", "SigCgt:"))}
        if any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks.values()):
            process.signal(signal.SIGHUP)

    def operate(self, number):
        """Sends signals, restarts entries and writes configurations, in series."""
        choices = self.random("operator", number)
        while not self.is_over.wait(choices.uniform(0.2, 1.5)):
            name = choices.choice(sorted(self.stack.entries))
            action = choices.choice(("hup", "term", "kill", "pause", "configuration", "configuration"))
            if action == "configuration":
                with self.version_lock:
                    self.stack.routing["version"] = next(self.versions)
                    self.stack.put("op/config", json.dumps(self.stack.routing))
                continue
            with self.entry_locks[name]:
                if action == "hup":
                    self.reload(name)
                elif action == "pause":
                    self.stack.pause(name)
                    time.sleep(choices.uniform(0.1, 1))
                    self.stack.resume(name)
                else:
                    self.end_entry(name, signal.SIGTERM if action == "term" else signal.SIGKILL)

    def run(self):
        """Runs the soak; returns the faults that were found."""
        roles = [(self.call, ORDINARY_CALLERS), (self.press, CROWDS), (self.operate, OPERATORS)]
        threads = [threading.Thread(target=role, args=(number,)) for role, count in roles for number in range(count)]
        for thread in threads:
            thread.start()
        time.sleep(self.seconds)
        self.is_over.set()
        for thread in threads:
            thread.join()
        for name in self.stack.entries:
            self.check_entry(name)
            self.check_served(name)
            self.check_entry(name)
        for name, process in self.stack.processes.items():
            if process.popen.poll() is not None:
                self.faults.append(f"{name} ended by itself with {process.popen.returncode}")
        self.check_runs()
        return self.faults

    def check_served(self, name):
        """Checks that ordinary requests are answered now that the crowds have left."""
        try:
            self.stack.wait_ready(name)
            for path in ("/safe/after", "/turn/after"):
                stack.wait_until(lambda p=path: self.stack.send(name, p, "hello")[0] == 200, path)
        except TimeoutError as error:
            self.faults.append(f"{name}: {error}")

    def check_runs(self):
        """Checks that nothing ran twice that may run once, and nothing that was refused with a promise."""
        with open(self.stack.path("requests"), encoding="utf-8") as lines:
            runs = [line.split() for line in lines]
        for (_, path, name), count in collections.Counter(map(tuple, runs)).items():
            if count > 1 and not path.startswith("/safe/"):
                self.faults.append(f"{name} ({path}) ran {count} times")
            if name in self.refused:
                self.faults.append(f"{name} ({path}) ran though it was refused")


def soak(seed, seconds):
    """Runs one soak; returns its faults and the number of requests by status."""
    run = Soak(seed, seconds)
    try:
        return run.run(), run.statuses
    finally:
        run.stack.close()


def main():
    """Runs a series of seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first and last seed, as 1-50")
    parser.add_argument("--seconds", type=float, default=20, help="length of each run")
    options = parser.parse_args()
    first, last = (int(number) for number in options.seeds.split("-"))
    failed = 0
    for seed in range(first, last + 1):
        faults, statuses = soak(seed, options.seconds)
        failed += 1 if faults else 0
        print(f"seed {seed}: {'FAILED' if faults else 'ok'} {dict(statuses)}", *faults[:20], sep="\n    ", flush=True)
    print(f"{last - first + 1 - failed} held, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
