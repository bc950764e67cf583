"""Stand-ins for the platform's store, runners and clients, and a small deployment of briarhinge-node.

Everything runs on loopback addresses with free ports. The processes under test are the ones of the deploy file; the
stand-ins are threads of the test and speak the protocol of the users' pages.
"""

import base64
import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(REPOSITORY, "target", "briarhinge-node")
METRICS_PORT = 9464
HOST_NAME = "ficu95.example"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2

# "the runner is back after some seconds"
RUNNER_DOWN_S = 3.0
# "after three ping intervals of silence"
SILENT_PINGS_S = 3.6

_hosts = itertools.count(1)


class CannotRun(Exception):
    """The case could not be set up."""


def next_host():
    """Returns a loopback address that no other process of this test uses."""
    pid, number = os.getpid(), next(_hosts)
    return f"127.{20 + pid % 200}.{1 + pid // 200 % 250}.{number}"


def free_port(host):
    """Returns a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text):
        """Writes a line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
            self._file.flush()


class Server(ThreadingHTTPServer):
    """An HTTP/1.1 server on a loopback address of its own."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, handler, host=None, port=0):
        super().__init__((host or next_host(), port), handler)
        self.address = f"{self.server_address[0]}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def server_bind(self):
        # The one of HTTPServer looks up the host's name.
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address

    def handle_error(self, request, client_address):
        """Clients may close their connections at any time."""


class QuietHandler(BaseHTTPRequestHandler):
    """Serves kept connections and writes no log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Each response leaves in one piece.
    wbufsize = -1

    def log_message(self, *_):
        """Writes nothing."""

    def reply(self, status, document):
        """Sends a JSON document."""
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class PlatformStore:
    """The platform's metadata store. Each machine reaches it at an address of its own, so that it can be turned away."""

    def __init__(self):
        self._changed = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 1
        self._cuts = 0
        self._refused = set()
        self._servers = []

    def address(self, machine):
        """Starts to serve a machine at an address of its own."""
        store = self

        class Handler(QuietHandler):
            """Serves one machine."""

            def do_GET(self):
                store.handle_read(self, machine)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                store.handle_write(self, machine, body)

        self._servers.append(Server(Handler))
        return self._servers[-1].address

    def close(self):
        """Stops to listen."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def turn_away(self, machine):
        """Answers all calls of a machine with 503 from now on; its waiting watches end with 503, too."""
        with self._changed:
            self._refused.add(machine)
            self._changed.notify_all()

    def serve_again(self, machine):
        """Serves a machine that was turned away."""
        with self._changed:
            self._refused.discard(machine)
            self._changed.notify_all()

    def put(self, key, value):
        """Writes a key and returns the time of the confirmation."""
        return self._change([(key, value)], [])

    def remove(self, key):
        """Removes a key and returns the time of the confirmation."""
        return self._change([], [key])

    def cut_watches(self):
        """Cuts all watches that wait: their channels are closed without an answer."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    def value(self, key):
        """Returns the value of a key, or None."""
        with self._changed:
            item = self._items.get(key)
            return item["value"] if item else None

    def _change(self, puts, removes):
        with self._changed:
            self._apply(puts, removes)
            self._changed.notify_all()
            return time.monotonic()

    def _apply(self, puts, removes):
        self._revision += 1
        for key, value in puts:
            value = value if isinstance(value, bytes) else value.encode()
            created = self._items.get(key, {}).get("created", self._revision)
            self._items[key] = {"value": value, "revision": self._revision, "created": created}
            self._events.append((self._revision, key, value))
        for key in removes:
            if self._items.pop(key, None) is not None:
                self._events.append((self._revision, key, None))

    def _is_refused(self, handler, machine):
        with self._changed:
            refused = machine in self._refused
        if refused:
            handler.reply(503, {})
        return refused

    @staticmethod
    def _item(key, item):
        return {"key": key, "value": base64.b64encode(item["value"]).decode(), "revision": item["revision"],
                "created": item["created"], "lease": 0}

    def handle_read(self, handler, machine):
        """Answers a listing, a read or a watch."""
        if self._is_refused(handler, machine):
            return
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/kv-range":
            with self._changed:
                keys = sorted(key for key in self._items
                              if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
                items = [self._item(key, self._items[key]) for key in keys[:500]]
                at = self._revision
            handler.reply(200, {"items": items, "has_more": len(keys) > 500, "at": at})
        elif url.path == "/-/kv-key":
            with self._changed:
                item = self._items.get(query["key"])
                document = {**self._item(query["key"], item), "at": self._revision} if item else None
            handler.reply(200 if document else 404, document or {})
        elif url.path == "/-/kv-watch":
            self._watch(handler, machine, query)
        else:
            handler.reply(404, {})

    def _watch(self, handler, machine, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        events, status = [], 200
        with self._changed:
            cuts = self._cuts
            while True:
                events = [event for event in self._events if event[0] > after and event[1].startswith(prefix)]
                left = end - time.monotonic()
                if machine in self._refused:
                    status = 503
                    break
                if events or left <= 0:
                    break
                if self._cuts != cuts:
                    handler.close_connection = True
                    return
                self._changed.wait(left)
            at = self._revision
        changes = [{"key": key, "revision": revision, "deleted": True} if value is None else
                   self._item(key, {"value": value, "revision": revision, "created": revision})
                   for revision, key, value in events]
        handler.reply(status, {"events": changes, "at": at} if status == 200 else {})

    def handle_write(self, handler, machine, body):
        """Answers a transaction."""
        if self._is_refused(handler, machine):
            return
        if urlsplit(handler.path).path != "/-/kv-txn":
            handler.reply(404, {})
            return
        document = json.loads(body)
        with self._changed:
            expected = {row["key"]: row["revision"] for row in document["expected_rev"]}
            current = {key: self._items[key]["revision"] if key in self._items else 0 for key in expected}
            if current != expected:
                conflict = [self._item(key, self._items[key]) for key in expected if key in self._items]
            else:
                conflict = None
                self._apply([(put["key"], base64.b64decode(put["value"])) for put in document["puts"]],
                            document["remove"])
                self._changed.notify_all()
            revision = self._revision
        if conflict is None:
            handler.reply(200, {"revision": revision})
        else:
            handler.reply(412, {"items": conflict})


class Runner:
    """A runner that streams turns and answers all other requests after some work."""

    EVENTS = 3

    def __init__(self, store, record, name, service, zone, work_s=0.02):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.id = f"i-{name}"
        self.boots = 0
        self.work_s = work_s
        self.received = []
        self.busy = 0
        self._lock = threading.Lock()
        self._connections = set()
        self._born = int(time.time() * 1000)
        # A request with this path crashes the runner when it begins to run; the runner is back after some seconds.
        self.crashing_path = None
        self.crashes = []
        # How long a crash leaves all channels open and silent, as a machine without power does; 0: it closes them.
        self.dark_s = 0.0
        self.is_listening = True
        runner = self

        class Handler(QuietHandler):
            """Serves the runner's callers."""

            def setup(self):
                super().setup()
                with runner._lock:
                    runner._connections.add(self.connection)

            def finish(self):
                with runner._lock:
                    runner._connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                runner.handle(self, b"")

            def do_POST(self):
                runner.handle(self, self.rfile.read(int(self.headers.get("Content-Length", 0))))

        self._handler = Handler
        self.server = Server(Handler)
        self.register("ready")

    def register(self, state):
        """Writes the registration."""
        document = {"service": self.service, "address": self.server.address, "zone": self.zone, "version": "v1",
                    "slots": 24, "state": state, "cold_remaining_ms": 0, "sequence": 1 if state == "ready" else 2,
                    "born": self._born}
        return self.store.put("servers/" + self.id, json.dumps(document))

    def _end(self):
        # A listening socket that another thread polls stops to listen only when it is shut down.
        with self._lock:
            self.is_listening = False
            connections = list(self._connections)
        for connection in [self.server.socket, *connections]:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def exit(self):
        """Ends the runner: it listens no more, and its channels are closed."""
        self._end()
        self.server.shutdown()
        self.server.server_close()

    def _go_dark(self):
        time.sleep(SILENT_PINGS_S)
        self.store.remove("servers/" + self.id)
        time.sleep(max(0.0, self.dark_s - SILENT_PINGS_S))
        self.exit()
        host, port = self.server.server_address
        self.boots += 1
        self.id = f"i-{self.name}-{self.boots}"
        self._born = int(time.time() * 1000)
        self.server = Server(self._handler, host, port)
        self.is_listening = True
        self.register("ready")

    def _come_back(self):
        host, port = self.server.server_address
        self.exit()
        time.sleep(RUNNER_DOWN_S)
        self._born = int(time.time() * 1000)
        self.server = Server(self._handler, host, port)
        self.is_listening = True
        self.register("ready")

    def handle(self, handler, body):
        """Runs a request."""
        request = handler.headers.get("X-Request-Id", "")
        if handler.headers.get("X-Expect-Instance", self.id) != self.id:
            handler.reply(421, {})
            return
        if handler.path == self.crashing_path:
            with self._lock:
                is_running, self.is_listening = self.is_listening, False
                if is_running:
                    self.crashes.append(time.monotonic())
            handler.close_connection = True
            if is_running:
                self.record.write(f"runner {self.name} runs {request} {handler.command} {handler.path} and crashes")
                if self.dark_s:
                    self._go_dark()
                else:
                    self._end()
                    threading.Thread(target=self._come_back, daemon=True).start()
            return
        if not self.is_listening:
            # Silent until the machine is back.
            while not self.is_listening:
                time.sleep(0.05)
            handler.close_connection = True
            return
        with self._lock:
            self.received.append((time.monotonic(), request, handler.path, body))
            self.busy += 1
        self.record.write(f"runner {self.name} runs {request} {handler.command} {handler.path}")
        time.sleep(self.work_s)
        try:
            if self.service == "chat":
                self._stream(handler, request)
            else:
                self._answer(handler, request)
        finally:
            with self._lock:
                self.busy -= 1

    def _head(self, handler, request):
        handler.send_response(200)
        handler.send_header("X-Request-Id", request)
        handler.send_header("X-Server-Stamp", f"{self.id}.{request}")
        handler.send_header("X-Server-Load", f"{self.busy},0,24")
        handler.send_header("Keep-Alive", "timeout=15")

    def _answer(self, handler, request):
        body = f"{request} done".encode()
        self._head(handler, request)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)
        handler.wfile.flush()

    def _stream(self, handler, request):
        self._head(handler, request)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(1, self.EVENTS + 1):
            event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(0.005)
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()


class Answer:
    """What a client got: a status, 0 if the channel ended without a whole answer."""

    def __init__(self, status, body=b"", stamp=None, retry_after=None):
        self.status, self.body, self.stamp, self.retry_after = status, body, stamp, retry_after


class Node:
    """A process of briarhinge-node."""

    def __init__(self, deployment, name, role, zone):
        self.name, self.role, self.zone = name, role, zone
        self.host = next_host()
        self.front, self.ready, self.control = (free_port(self.host) for _ in range(3))
        self.internal = free_port(self.host)
        self.folder = os.path.join(deployment.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data)
        self.settings = os.path.join(self.folder, "node.toml")
        self.store_address = deployment.store.address(name)
        self.process = None

    def write_settings(self, seeds):
        """Writes the settings file."""
        listens = ({"front": self.front, "ready": self.ready} if self.role == "entry" else {"control": self.control})
        lines = [f'node_name = "{self.name}"', f'role = "{self.role}"', f'ip = "{self.host}"', f'zone = "{self.zone}"',
                 'region = "vestland"', f"internal_ports = [{self.internal}, {self.internal}]",
                 f"seed_nodes = {json.dumps(seeds)}", "bootstrap = true",
                 f"in_fault_budget = {'true' if self.role == 'turn-store' else 'false'}", "heartbeat_ms = 1200",
                 *([f'data_dir = "{self.data}"'] if self.role == "turn-store" else []),
                 "[listen_addrs]", *(f'{key} = "{self.host}:{port}"' for key, port in listens.items()),
                 "[limits]", "memory_mb = 260", "max_fds = 4100",
                 "[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0",
                 "[timing_bounds]", "seed_lag_s = 3", "reuse_after_s = 2", "contact_ms = 3000", "ack_ms = 4000",
                 "catch_up_s = 4.4", "drain_ms = 2000", "grace_s = 8", "loss_slack_ms = 200",
                 "config_apply_ms = 2000", "rollback_slack_ms = 250", "max_stretch_ms = 5000", "recover_s = 12",
                 "pass_ms = 120", "retry_after_s = 0", "deadline_s = 10", "settle_ms = 1000",
                 "[platform]", f'address = "{self.store_address}"', 'form = "kv"', "writes_per_s = 400",
                 "reads_per_s = 2000", "history_s = 20", "value_bytes = 1048576", "ttl_min_ms = 1000"]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        """Starts the process."""
        environment = {"PATH": os.environ["PATH"], "BRIARHINGE_NODE_FILE": self.settings}
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen([NODE, self.role], cwd=REPOSITORY, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)

    def kill(self):
        """Kills the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def wipe(self):
        """Empties the disk of a process that has ended."""
        shutil.rmtree(self.data)
        os.makedirs(self.data)

    def has_ended(self):
        """Returns whether the process has ended by itself."""
        return self.process is not None and self.process.poll() is not None

    def is_ready(self):
        """Asks as the platform does whether an entry is ready."""
        connection = http.client.HTTPConnection(self.host, self.ready, timeout=1)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def send(self, record, method, path, body=b"", fields=None, request=None, timeout=5.0):
        """Sends a request to an entry as a client does, on a new channel."""
        request = request or os.urandom(8).hex()
        headers = {"Host": HOST_NAME, "X-Request-Id": request, "X-Deadline-Remaining": "4000", **(fields or {})}
        record.write(f"client sends {request} {method} {path} to {self.name}")
        connection = http.client.HTTPConnection(self.host, self.front, timeout=timeout)
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            answer = Answer(response.status, response.read(), response.getheader("X-Server-Stamp"),
                            response.getheader("Retry-After"))
        except (OSError, http.client.HTTPException):
            answer = Answer(0)
        finally:
            connection.close()
        record.write(f"client got {answer.status or 'a closed channel'} for {request} from {self.name}")
        return answer


class Deployment:
    """The platform's store, three turn stores, some entries and runners."""

    def __init__(self, record, config, entries=3, stores=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="briarhinge-review-")
        self.store = PlatformStore()
        self.store.put("op/config", json.dumps(config))
        self.runners = []
        zones = ["vestland-a", "vestland-b", "vestland-c"]
        self.stores = [Node(self, f"storage-{zones[i % 3]}-{1 + i // 3}", "turn-store", zones[i % 3])
                       for i in range(stores)]
        self.entries = [Node(self, f"edge-{zones[i % 3]}-{1 + i // 3}", "entry", zones[i % 3]) for i in range(entries)]
        self.seeds = [f"{node.host}:{node.control}" for node in self.stores[:3]]
        for node in self.stores + self.entries:
            node.write_settings(self.seeds)

    def add_runners(self, service, count, work_s=0.02):
        """Starts runners of a service."""
        zones = ["vestland-a", "vestland-b", "vestland-c"]
        added = [Runner(self.store, self.record, f"{service}-{i}", service, zones[i % 3], work_s)
                 for i in range(count)]
        self.runners += added
        return added

    def start(self):
        """Starts all processes and waits until the entries are ready."""
        if not os.access(NODE, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        for node in self.stores + self.entries:
            node.start()
        self.wait(lambda: all(entry.is_ready() for entry in self.entries), 20, "the entries to be ready")

    def wait(self, condition, limit_s, what):
        """Waits until a condition holds."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"waited in vain for {what}")
            time.sleep(0.05)

    def group(self):
        """Returns the group of turn stores that stands in the platform's store."""
        text = self.store.value("briarhinge/turn-group")
        return json.loads(text) if text else None

    def close(self):
        """Ends every process that was started."""
        for node in self.stores + self.entries:
            node.kill()
        for runner in self.runners:
            runner.exit()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def turn_fields(budget, previous=None, program="3fa81c"):
    """Returns the fields of a turn."""
    fields = {"X-Model-Name": "m", "X-Token-Usage": "40,33", "X-Prompt-Prefix": "5c1e07a2:40",
              "X-Program-Id": program, "X-Session-Id": "77d20b", "X-Program-Deadline": "60000",
              "X-Token-Budget": str(budget)}
    if previous:
        fields["X-Previous-Turn"] = previous
    return fields


def route(name, prefix, kind, service, **more):
    """Returns a route of a configuration."""
    return {"name": name, "host": HOST_NAME, "prefix": prefix, "kind": kind, "timeout_ms": 4000,
            "target_latency_ms": 250, "priority": 0, "service": service, "max_attempts": 2, **more}


def turn_route(name, prefix, service="chat"):
    """Returns a route that keeps what was said."""
    return route(name, prefix, "streaming", service, retain_history=True, retention_s=60.0, sticky=True,
                 resumable=False, gap_aim_ms=200)


def config(version, routes):
    """Returns a configuration."""
    engine = {"slots": 24, "kv_cache_tokens": 152773, "kv_token_bytes": 18432, "tokens_per_event": 11,
              "models": [{"name": "m"}]}
    return {"version": version, "routes": routes,
            "services": [{"name": "chat", "health_path": "/health", "max_connections": 200, "protocol": "h1",
                          "tls": False, "engine": engine},
                         {"name": "tools", "health_path": "/health", "max_connections": 100, "protocol": "h1",
                          "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def run_case(case, folder):
    """Runs a case: case(record, has_trouble) returns whether the rule held. Returns the exit code."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if has_trouble else "without the disruption")
    try:
        has_held = case(record, has_trouble)
    except CannotRun as error:
        record.write(f"the case could not run: {error}")
        return EXIT_CANNOT_RUN
    except Exception:  # pylint: disable=broad-except
        record.write("the case could not run:\n" + traceback.format_exc())
        return EXIT_CANNOT_RUN
    record.write("the rule held" if has_held else "the rule was broken")
    return EXIT_HELD if has_held else EXIT_BROKEN
