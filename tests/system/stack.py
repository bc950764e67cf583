"""Starts the stand-ins and the daemons of one deployment on 127.0.0.1 and ends exactly these processes."""

import fcntl
import itertools
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("BRIARHINGE_BUILD", os.path.join(ROOT, "build"))
START_TIMEOUT_S = 15
STOP_TIMEOUT_S = 20


# Below the ephemeral port range: an outgoing connection could otherwise take a port before its server binds it.
FIRST_PORT = 10_000
PORTS = 20_000
_ports = itertools.count(os.getpid() * 101)
# One byte of this file stands for each port; a test run locks those of its ports until it ends.
_port_locks = os.open(os.path.join(tempfile.gettempdir(), "briarhinge-test-ports"), os.O_RDWR | os.O_CREAT, 0o666)


def lock_port(port):
    """Locks a port for this test run; returns whether no other one has it."""
    try:
        fcntl.lockf(_port_locks, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except (BlockingIOError, PermissionError):
        return False
    return True


def free_port():
    """Returns an unused port of 127.0.0.1 that no other test run is given."""
    while True:
        port = FIRST_PORT + next(_ports) % PORTS
        if not lock_port(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def send_request(method, url, body=None, timeout=30):
    """Sends a request; returns the status and the body as text, also for an error status."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def wait_until(condition, description, timeout=START_TIMEOUT_S):
    """Polls until a condition holds; raises TimeoutError with a description of the condition."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"waited {timeout} s for {description}")


def is_responding(url):
    """Returns whether a GET of a URL succeeds."""
    try:
        return send_request("GET", url, timeout=1)[0] == 200
    except OSError:
        return False


class Process:
    """One process that this stack started."""

    def __init__(self, name, command, log, environment=None, max_descriptors=None):
        self.name = name
        self.command = command
        self.log = log
        self.environment = environment or {}
        self.max_descriptors = max_descriptors
        self.popen = None

    def _limit_descriptors(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def start(self):
        """Starts the process; its output is appended to its log."""
        with open(self.log, "ab") as output:
            self.popen = subprocess.Popen(self.command, stdout=output, stderr=output,
                                          env={**os.environ, **self.environment},
                                          preexec_fn=self._limit_descriptors if self.max_descriptors else None)

    def signal(self, number):
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Waits for the end of the process; returns its exit code."""
        return self.popen.wait(timeout)

    def kill(self):
        """Kills the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


class Background(threading.Thread):
    """Calls a function on a separate thread and stores its result."""

    def __init__(self, function):
        super().__init__(daemon=True)
        self.function = function
        self.result = None
        self.start()

    def run(self):
        """Calls the function."""
        self.result = self.function()


class Deployment:
    """Named processes with their logs in a folder of their own."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="briarhinge.")
        self.processes = {}

    def close(self):
        """Kills every process and removes the folder."""
        for process in self.processes.values():
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def path(self, name):
        """Returns the path of a file in the folder of this deployment."""
        return os.path.join(self.folder, name)

    def run(self, name, command, environment=None, max_descriptors=None):
        """Starts a process under a name, with further variables and a limit on its descriptors where given."""
        process = Process(name, command, self.path(name + ".log"), environment, max_descriptors)
        self.processes[name] = process
        process.start()
        return process

    def pause(self, name):
        """Suspends a process with SIGSTOP."""
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name):
        """Resumes a suspended process."""
        self.processes[name].signal(signal.SIGCONT)

    def log(self, name):
        """Returns the log events of a daemon."""
        with open(self.path(name + ".log"), encoding="utf-8") as lines:
            return [json.loads(line) for line in lines if line.startswith("{")]


class Stack(Deployment):
    """A deployment of stand-ins and daemons."""

    def __init__(self):
        super().__init__()
        self.vms = []
        self.entries = {}
        self.runners = {}
        self.engines = {}
        self.tools = {}
        self.key_value = self._start_standin("keyvalue", "--threads", "32")
        self.vm_list = self._start_standin("vmlist")
        wait_until(lambda: is_responding(self.key_value + "/admin/counts"), "the key-value service")
        wait_until(lambda: is_responding(self.vm_list + "/v1/vms"), "the VM list")

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()

    def _start_standin(self, kind, *flags, name=None):
        port = free_port()
        program = os.path.join(BUILD, "standins", "standin-" + kind)
        self.run(name or kind, [program, "--listen", f"127.0.0.1:{port}", *flags])
        return f"http://127.0.0.1:{port}"

    def engine(self, name, *flags):
        """Starts a model engine."""
        self.engines[name] = self._start_standin("engine", "--requests", self.path(name + ".requests"), *flags,
                                                 name=name)
        wait_until(lambda: is_responding(self.engines[name] + "/v1/account"), name)
        return self.engines[name]

    def tool(self, name):
        """Starts a tool service."""
        self.tools[name] = self._start_standin("tool", "--effects", self.path(name + ".effects"), name=name)
        return self.tools[name]

    def effects(self, name):
        """Returns the effects of a tool service, one line each."""
        with open(self.path(name + ".effects"), encoding="utf-8") as lines:
            return lines.read().splitlines()

    def _start_daemon(self, role, name, zone, *flags, **limits):
        frames, http = free_port(), free_port()
        self.run(name, [os.path.join(BUILD, "src", "briarhinged"), "--role", role, "--name", name, "--zone", zone,
                        "--listen", f"127.0.0.1:{frames}", "--http-listen", f"127.0.0.1:{http}",
                        "--key-value", self.key_value, "--vm-list", self.vm_list, "--vm-list-interval", "100",
                        *flags], **limits)
        return f"127.0.0.1:{frames}", f"http://127.0.0.1:{http}"

    def entry(self, name, zone, *flags, **limits):
        """Starts an entry and lists its VM; see run() for the limits."""
        address, http = self._start_daemon("entry", name, zone, *flags, **limits)
        self.entries[name] = http
        self.vms.append({"name": name, "zone": zone, "role": "entry", "address": address})
        return http

    def runner(self, name, zone, upstream, kind, pool, serves, *flags):
        """Starts a runner process beside an upstream and lists its VM."""
        address, http = self._start_daemon("runner", name, zone, "--upstream", upstream, "--upstream-kind", kind,
                                  "--pool", pool, "--serves", ",".join(serves), *flags)
        self.runners[name] = http
        self.vms.append({"name": name, "zone": zone, "role": "runner", "address": address, "pool": pool,
                         "serves": serves})

    def publish(self, **changes):
        """Publishes the VMs in the VM list. The name of a change is that of a VM, its value the fields to update."""
        for vm in self.vms:
            vm.update(changes.get(vm["name"].replace("-", "_"), {}))
        send_request("PUT", self.vm_list + "/admin/vms", json.dumps({"vms": self.vms}))

    def remove_vm(self, name):
        """Removes a VM from the VM list."""
        self.vms = [vm for vm in self.vms if vm["name"] != name]
        self.publish()

    def wait_ready(self):
        """Waits until every runner process and every entry is ready."""
        for name, http in {**self.runners, **self.entries}.items():
            wait_until(lambda url=http: is_responding(url + "/readyz"), name)

    def faults(self, **faults):
        """Sets faults of the key-value service, such as outage=True, delayMs=50 or loseAnswers=1."""
        send_request("PUT", self.key_value + "/admin/faults", json.dumps(faults))

    def counts(self):
        """Returns the calls that the key-value service has counted."""
        return json.loads(send_request("GET", self.key_value + "/admin/counts")[1])

    def ctl(self, *words, entry=None):
        """Runs briarhingectl with JSON output; returns its exit code, standard output and standard error."""
        entry = entry or next(iter(self.entries.values()), "")
        command = [os.path.join(BUILD, "src", "briarhingectl"), "--key-value", self.key_value, "--entry", entry,
                   "--output", "json", *words]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        return result.returncode, result.stdout, result.stderr

    def kill(self, name):
        """Kills a process and forgets its address."""
        self.processes[name].kill()
        self.entries.pop(name, None)
        self.runners.pop(name, None)

    def restart(self, name):
        """Waits for a process to end and starts it again with the same command line."""
        self.processes[name].wait()
        self.processes[name].start()

    def requests(self, name):
        """Returns the requests that reached an engine, one line each."""
        path = self.path(name + ".requests")
        if not os.path.exists(path):
            return []
        with open(path, encoding="utf-8") as lines:
            return lines.read().splitlines()

    def held_tokens(self, name):
        """Returns the number of tokens that an engine holds, by program."""
        return json.loads(send_request("GET", self.engines[name] + "/v1/account")[1])["held"]

    def terminate(self, name):
        """Sends SIGTERM to a process and waits for its end; returns its exit code."""
        self.processes[name].signal(signal.SIGTERM)
        return self.processes[name].wait()


class Caller:
    """A caller of one program; tracks the history that its next call extends."""

    def __init__(self, entry, program, kind="chat", account="huye", parent=None):
        self.entry = entry
        self.program = program
        self.kind = kind
        self.account = account
        self.parent = parent
        self.history = None
        self.number = 1

    def open(self, timeout=30):
        """Opens the program; returns status and reply."""
        body = {"id": self.program, "kind": self.kind, "account": self.account}
        if self.parent:
            body["parent"] = self.parent
        status, reply = send_request("POST", self.entry + "/v1/programs", json.dumps(body), timeout)
        return status, json.loads(reply)

    def call(self, number=None, timeout=30, **body):
        """Makes a call, the next one unless a number is given; returns status and reply."""
        number = number or self.number
        if self.history and "extends" not in body:
            body["extends"] = self.history
        url = f"{self.entry}/v1/programs/{self.program}/calls/{number}"
        status, text = send_request("POST", url, json.dumps(body), timeout)
        reply = json.loads(text)
        if "history" in reply and number == self.number:
            self.history = reply["history"]
            self.number += 1
        return status, reply

    def model(self, text, model="small", **body):
        """Makes a model call."""
        return self.call(type="model", model=model, input=text, **body)

    def tool(self, text, tool="charge", idempotent=False, **body):
        """Makes a tool call."""
        return self.call(type="tool", tool=tool, input=text, idempotent=idempotent, **body)

    def show(self):
        """Returns status and state of the program."""
        status, reply = send_request("GET", f"{self.entry}/v1/programs/{self.program}")
        return status, json.loads(reply)

    def end(self):
        """Ends the program; returns status and state."""
        status, reply = send_request("DELETE", f"{self.entry}/v1/programs/{self.program}")
        return status, json.loads(reply)


def small_stack(entries=2, engines=2, entry_flags=(), engine_flags=(), runner_flags=(), **entry_limits):
    """Starts a small deployment: entries and engines over two zones and one tool service."""
    stack = Stack()
    try:
        for i in range(engines):
            engine = stack.engine(f"engine-{i}", *engine_flags)
            stack.runner(f"runner-{i}", "rwc-" + "ab"[i % 2], engine, "engine", "chat", ["small"], *runner_flags)
        tool = stack.tool("orders")
        stack.runner("runner-orders", "rwc-a", tool, "tool", "orders", ["charge", "search"], *runner_flags)
        for i in range(entries):
            stack.entry(f"entry-{i}", "rwc-" + "ab"[i % 2], *entry_flags, **entry_limits)
        stack.publish()
        stack.wait_ready()
    except BaseException:
        stack.close()
        raise
    return stack
