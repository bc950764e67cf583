"""Callers that don't behave: many connections at once that send what they like and stay open."""

import contextlib
import errno
import os
import selectors
import socket
import time

# Bytes that one connection is given at a time, so that all of them grow together.
PIECE_BYTES = 64 * 1024
# A crowd that has moved no byte for so long has sent all that it can.
SETTLE_S = 2.0
# Ends a crowd whose process reads its bytes too slowly.
PRESS_LIMIT_S = 120
CONNECT_TIMEOUT_S = 10


def chunked(data, size):
    """Returns data as the chunks of a body, without the last chunk."""
    return b"".join(b"%x\r\n%s\r\n" % (len(data[at:at + size]), data[at:at + size]) for at in range(0, len(data), size))


def request_head(path, name, fields):
    """Returns the head of a request."""
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"X-Request-Id: {name}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Crowd:
    """Connections to one address, each with the bytes that it sends."""

    def __init__(self, host, port, payloads):
        self.selector = selectors.DefaultSelector()
        self.sockets = []
        # The status that each closed connection was given, by the number of its payload; "none" without an answer.
        self.answers = {}
        for number, payload in enumerate(payloads):
            self._open(host, port, number, payload)

    @property
    def statuses(self):
        """Returns the statuses that closed connections were given."""
        return set(self.answers.values())

    def _open(self, host, port, number, payload):
        connection = socket.socket()
        connection.settimeout(CONNECT_TIMEOUT_S)
        try:
            connection.connect((host, port))
        except OSError:
            connection.close()
            return
        connection.setblocking(False)
        self.sockets.append(connection)
        self.selector.register(connection, selectors.EVENT_READ | selectors.EVENT_WRITE, [memoryview(payload), b"", number])

    def _receive(self, key):
        """Reads what has come; returns whether the connection is still open."""
        try:
            data = key.fileobj.recv(PIECE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        key.data[1] = (key.data[1] + data)[:16]
        return bool(data)

    def _send(self, key):
        """Sends a piece; returns whether the connection is still open."""
        try:
            sent = key.fileobj.send(key.data[0][:PIECE_BYTES])
        except BlockingIOError:
            return True
        except OSError as error:
            if error.errno not in (errno.EPIPE, errno.ECONNRESET):
                raise
            return False
        key.data[0] = key.data[0][sent:]
        if not key.data[0]:
            self.selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        return True

    def press(self, limit=PRESS_LIMIT_S, settle=SETTLE_S):
        """Sends until every connection has sent its bytes, was closed, or nothing has moved for a while."""
        end = time.monotonic() + limit
        while time.monotonic() < end and self.selector.get_map():
            ready = self.selector.select(settle)
            if not ready:
                return
            for key, events in ready:
                is_open = self._receive(key) if events & selectors.EVENT_READ else True
                if is_open and events & selectors.EVENT_WRITE:
                    is_open = self._send(key)
                if not is_open:
                    self.selector.unregister(key.fileobj)
                    self._record_answer(key)

    def _record_answer(self, key):
        """Records what a closed connection was given."""
        _, beginning, number = key.data
        is_answer = beginning.startswith(b"HTTP/1.1 ")
        self.answers[number] = beginning[9:12].decode(errors="replace") if is_answer else "none"

    def close(self):
        """Closes every connection."""
        self.selector.close()
        for connection in self.sockets:
            connection.close()

    @classmethod
    @contextlib.contextmanager
    def pressing(cls, host, port, payloads):
        """Presses with a crowd and keeps its connections open for as long as the context."""
        crowd = cls(host, port, payloads)
        try:
            crowd.press()
            yield crowd
        finally:
            crowd.close()


def peak_memory_mb(pid):
    """Returns the most memory that a process has used so far."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:")) / 1024


def descriptors(pid):
    """Returns the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))
