"""Stand-ins of the platform's store and of runners, and the processes under test, for the cases 11 to 15.

The stand-ins run on the event loop of the case; `briarhinge-node` runs as separate processes with the commands of the
deploy file. All addresses are loopback addresses; the ports are free ones.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# The platform starts a process that has ended again after a short delay.
RESTART_DELAY_S = 0.5
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "briarhinge-node")
ZONES = ("z-a", "z-b", "z-c", "z-d")
NET = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
_hosts = iter(range(1, 250))


class CannotRun(Exception):
    """The case can't be played, which says nothing about the rule."""


def next_host():
    """Returns a loopback address that nothing else of this run uses."""
    return f"{NET}.{next(_hosts)}"


def free_port(host):
    """Returns a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads a request; returns method, target, fields and body, or nothing at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target = lines[0].split(" ")[:2]
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return method, target, fields, body


def reply(status, body=b"", fields=()):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A listener whose connections are served by handle()."""

    def __init__(self):
        self.host = next_host()
        self.port = free_port(self.host)
        self.address = f"{self.host}:{self.port}"
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 20)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or not await self.handle(writer, *message):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, writer, method, target, fields, body):
        raise NotImplementedError


class PlatformStore(Server):
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        await self._apply([(key, value.encode())], [])

    async def remove(self, key):
        await self._apply([], [key])

    async def _apply(self, puts, removed):
        async with self.changed:
            self.revision += 1
            for key, value in puts:
                created = self.items[key]["created"] if key in self.items else self.revision
                self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                                   "created": created, "lease": 0}
                self.events.append(dict(self.items[key]))
            for key in removed:
                if self.items.pop(key, None):
                    self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()
        return self.revision

    def json(self, key):
        """Returns the JSON document under a key, or nothing."""
        return json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None

    async def handle(self, writer, method, target, fields, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status, document = await self.call(url.path, query, body)
        await asyncio.sleep(0.004)
        writer.write(reply(status, json.dumps(document).encode(), [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def call(self, path, query, body):
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                         "at": self.revision}
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/-/kv-watch":
            after, prefix = int(query["after"]), query.get("prefix", "")

            def found():
                return [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(found), int(query["wait_ms"]) / 1000)
                except asyncio.TimeoutError:
                    pass
                return 200, {"events": found(), "at": self.revision}
        if path == "/-/kv-txn":
            asked = json.loads(body)
            current = [(row["key"], self.items.get(row["key"], {"revision": 0})["revision"], row["revision"])
                       for row in asked["expected_rev"]]
            if any(have != expected for _, have, expected in current):
                return 412, {"items": [self.items.get(key, {"key": key, "revision": 0}) for key, _, _ in current]}
            puts = [(row["key"], base64.b64decode(row["value"])) for row in asked["puts"]]
            return 200, {"revision": await self._apply(puts, asked["remove"])}
        return 404, {}


class Runner(Server):
    """A sound runner: streams events on routes of the kind streaming, else answers whole."""

    def __init__(self, record, name, service, zone, events=4, work_s=0.02):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.events = events
        # Time before the first byte of an answer, and between two events.
        self.work_s = work_s
        self.pause_s = 0.01
        # The number of events and the pause for requests whose answers have another length, by request.
        self.lengths = {}
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.runs = []
        self.stamp = 0
        # A request with these bytes in its body crashes the runner; the platform's store, for the next start.
        self.fatal = None
        self.store = None
        self.starts = 1

    def entry(self, state="ready"):
        """Returns what the runner says of itself in the platform's store."""
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": 24, "state": state, "cold_remaining_ms": 0, "sequence": self.sequence,
                           "born": self.born})

    def head(self, fields):
        self.stamp += 1
        return [("X-Request-Id", fields.get("x-request-id", "")), ("X-Server-Stamp", f"{self.name}.{self.stamp}"),
                ("X-Server-Load", f"1,0,24"), ("Keep-Alive", "timeout=5")]

    def began(self, target, fields, body):
        """Records that a request has begun to run."""
        self.runs.append((fields.get("x-request-id"), target, body))
        self.record.write("run", runner=self.name, request=fields.get("x-request-id"), target=target, bytes=len(body))

    async def crash(self):
        """Ends the runner, which is back under a new id after some seconds."""
        old, self.name = self.name, ""
        self.record.write("crash", runner=old)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(2)
        self.starts += 1
        self.name = f"{old.rsplit('.', 1)[0]}.{self.starts}"
        self.born = int(time.time() * 1000)
        await self.listen()
        await self.store.remove("servers/" + old)
        await self.store.put("servers/" + self.name, self.entry())

    async def handle(self, writer, method, target, fields, body):
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(reply(421, b"", [("X-Instance-Id", self.name)]))
            await writer.drain()
            return True
        self.began(target, fields, body)
        await asyncio.sleep(self.work_s)
        if self.fatal and self.fatal in body:
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(1)
            return False
        if not target.startswith("/chat/"):
            writer.write(reply(200, b"done " + fields["x-request-id"].encode(), self.head(fields)))
            await writer.drain()
            return True
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in self.head(fields)),
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        events, pause_s = self.lengths.get(fields["x-request-id"], (self.events, self.pause_s))
        for number in range(1, events + 1):
            piece = f"id: {number}\ndata: {fields['x-request-id']}-{number}\n\n".encode()
            writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, what, **fields):
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:9.3f} {what} {values}\n")
        self.file.flush()


class Node:
    """A process under test."""

    def __init__(self, deployment, name, role, zone, limits):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.host = next_host()
        self.popen = None
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self.control = free_port(self.host)
        folder = os.path.join(deployment.folder, name)
        os.makedirs(folder)
        self.settings = os.path.join(folder, "node.toml")
        is_entry = role == "entry"
        listen = {"front": self.front, "ready": self.ready} if is_entry else {"control": self.control}
        memory, descriptors = limits
        lines = [f'node_name = "{name}"', f'role = "{role}"', f'machine_class = "{"edge" if is_entry else "storage"}"',
                 f'serves = {json.dumps(["edge"] if is_entry else ["storage", "control"])}', f'ip = "{self.host}"',
                 f'zone = "{zone}"', 'region = "r"',
                 f"internal_ports = [{deployment.internal_port}, {deployment.internal_port + 15}]",
                 f"seed_nodes = {json.dumps(deployment.seeds())}", "bootstrap = true",
                 f"in_fault_budget = {json.dumps(not is_entry)}", 'discovery = "platform"', 'entry = "vip"',
                 "heartbeat_ms = 1200"]
        if not is_entry:
            data = os.path.join(folder, "data")
            os.makedirs(data)
            lines.append(f'data_dir = "{data}"')
        lines += ["[zones]", *(f'{other} = "r"' for other in ZONES), "[listen_addrs]",
                  *(f'{key} = "{self.host}:{port}"' for key, port in listen.items()),
                  "[limits]", f"memory_mb = {memory}", f"max_fds = {descriptors}",
                  "[fault_tolerance]", f"machines = {deployment.losses}", "zones = 0", "regions = 0",
                  "[timing_bounds]", "contact_ms = 3000", "ack_ms = 4000", "catch_up_s = 4.3", "drain_ms = 2000",
                  "grace_s = 8", "loss_slack_ms = 200", "config_apply_ms = 2000", "recover_s = 12",
                  "[platform]", f'address = "{deployment.store.address}"', 'form = "kv"', "writes_per_s = 400",
                  "reads_per_s = 2000", "history_s = 20", "value_bytes = 1048576", "ttl_min_ms = 1000"]
        self.memory_mb = memory
        self.kills = 0
        self.is_lost = False
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BRIARHINGE_NODE_FILE"] = self.settings
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "ab") as log:
            self.popen = subprocess.Popen([PROGRAM, self.role], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.deployment.record.write("start", node=self.name)

    def signal(self, number):
        self.deployment.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        self.popen.send_signal(number)

    def memory(self):
        """Returns the memory of the process in MB; 0 if it does not run."""
        try:
            with open(f"/proc/{self.popen.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * PAGE_BYTES / 1048576
        except (OSError, AttributeError, IndexError):
            return 0

    async def ended(self):
        """Waits for the end of the process; returns its exit code."""
        while self.popen.poll() is None:
            await asyncio.sleep(0.01)
        self.deployment.record.write("ended", node=self.name, code=self.popen.returncode)
        return self.popen.returncode

    async def is_ready(self):
        try:
            status, _, _ = await call(self.host, self.ready, "GET", "/-/ready", {}, b"", 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200


ROUTES = [
    {"name": "r-chat", "host": "h.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 4000,
     "target_latency_ms": 200, "priority": 0, "service": "chat", "max_attempts": 2, "retain_history": True,
     "retention_s": 60.0, "sticky": True, "resumable": False, "gap_aim_ms": 200},
    {"name": "r-get", "host": "h.example", "prefix": "/get/", "kind": "safe", "timeout_ms": 1500,
     "target_latency_ms": 150, "priority": 1, "service": "app", "max_attempts": 2},
    {"name": "r-pay", "host": "h.example", "prefix": "/pay/", "kind": "unsafe", "timeout_ms": 3000,
     "target_latency_ms": 500, "priority": 2, "service": "app", "max_attempts": 2}]
CONFIG = {
    "version": 7, "routes": ROUTES,
    "services": [
        {"name": "chat", "health_path": "/health", "max_connections": 200, "protocol": "h1", "tls": False,
         "engine": {"slots": 24, "kv_cache_tokens": 152773, "tokens_per_event": 10}},
        {"name": "app", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class Deployment:
    """A small deployment: the platform's store, runners, turn stores and entries."""

    def __init__(self, folder, entries=2, stores=3, runners=3, losses=1, entry_limits=(110, 4100),
                 store_limits=(130, 8200)):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = PlatformStore()
        self.internal_port = free_port(next_host())
        self.losses = losses
        self.nodes = []
        self.stores = [self._node(f"storage-{ZONES[i % 4]}-{1 + i // 4}", "turn-store", ZONES[i % 4], store_limits) for i in range(stores)]
        self.entries = [self._node(f"edge-{ZONES[i % 4]}-{1 + i // 4}", "entry", ZONES[i % 4], entry_limits) for i in range(entries)]
        self.runners = [Runner(self.record, f"i-{service}-{i}", service, ZONES[i % 3])
                        for service in ("chat", "app") for i in range(runners)]
        for runner in self.runners:
            runner.store = self.store

    def seeds(self):
        return [f"{node.host}:{node.control}" for node in self.nodes if node.role == "turn-store"]

    def _node(self, name, role, zone, limits):
        node = Node(self, name, role, zone, limits)
        self.nodes.append(node)
        return node

    async def start(self, config=None):
        await self.store.listen()
        await self.store.put("op/config", json.dumps(config or CONFIG))
        for runner in self.runners:
            await runner.listen()
            await self.store.put("servers/" + runner.name, runner.entry())
        for node in self.nodes:
            node.start()
        for entry in self.entries:
            await self.until_ready(entry)

    async def until_ready(self, entry, limit_s=15):
        end = time.monotonic() + limit_s
        while not await entry.is_ready():
            if time.monotonic() > end:
                raise CannotRun(entry.name + " is not ready")
            await asyncio.sleep(0.05)

    async def supervise(self):
        """Does what the platform does: kills a process that uses more than its memory_mb, and starts ended ones again."""
        restarts = {}
        while True:
            for node in self.nodes:
                if node.popen is None or node.is_lost:
                    continue
                if node.popen.poll() is None:
                    used = node.memory()
                    if used > node.memory_mb:
                        node.kills += 1
                        node.popen.kill()
                        node.popen.wait()
                        self.record.write("killed", node=node.name, used_mb=round(used), memory_mb=node.memory_mb)
                elif restarts.setdefault(node.name, time.monotonic() + RESTART_DELAY_S) <= time.monotonic():
                    del restarts[node.name]
                    node.start()
            await asyncio.sleep(0.001)

    def members(self):
        """Returns the names of the turn stores that keep turns, and whether a change is under way."""
        group = self.store.json("briarhinge/turn-group") or {"current": [], "next": []}
        return [member["name"] for member in group["current"]], bool(group["next"])

    def close(self):
        for node in self.nodes:
            if node.popen is not None and node.popen.poll() is None:
                node.popen.send_signal(signal.SIGCONT)
                node.popen.kill()
                node.popen.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def send(self, entry, method, path, fields=None, body=b"", limit_s=6):
        """Sends a request on a new channel; returns the status (0: none), the fields and the body (None: not whole)."""
        request = {"Host": "h.example", **(fields or {})}
        self.record.write("sent", request=request.get("X-Request-Id"), to=entry.name, path=path, bytes=len(body),
                          previous=request.get("X-Previous-Turn", "-"))
        try:
            status, headers, answer = await call(entry.host, entry.front, method, path, request, body, limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, headers, answer = 0, {}, None
            self.record.write("failed", request=request.get("X-Request-Id"), error=type(error).__name__)
        self.record.write("answered", request=request.get("X-Request-Id"), status=status,
                          whole=answer is not None, stamp=headers.get("x-server-stamp", "-"))
        return status, headers, answer


async def call(host, port, method, path, fields, body, limit_s):
    """Makes a call on a new connection."""
    return await asyncio.wait_for(_call(host, port, method, path, fields, body), limit_s)


async def _call(host, port, method, path, fields, body):
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Reads an answer; the body is None if it is not whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    fields = {}
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    try:
        if fields.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return status, fields, body
                body += piece[:-2]
        return status, fields, await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, fields, None


def play(case):
    """Runs a case, a coroutine function that returns whether the rule held, and ends with its exit code."""
    async def run():
        # A case that takes too long is told to end, and then ends what it has started.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await case()
    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print("could not run:", repr(error))
        raise SystemExit(2) from error
    print("held" if held else "BROKEN")
    raise SystemExit(0 if held else 1)
