"""A client sends a request whose Transfer-Encoding does not end with chunked; what follows its head is its body, and
reads like a request."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import deployment
from deployment import BROKEN, HELD, TROUBLE, new_id, read_answer, request_bytes

ENCODINGS = ("gzip", "chunked, gzip", "identity") if TROUBLE else ("chunked", "gzip, chunked", "identity, chunked")


async def case(record):
    async with deployment.Deployment(record, entries=1) as system:
        smuggled = 0
        for encoding in ENCODINGS:
            outer, inner = new_id(), new_id()
            body = request_bytes("POST", "/unsafe/dispatch", {"X-Request-Id": inner}, b"a box")
            sent = body if TROUBLE else b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            reader, writer = await asyncio.open_connection(*system.entries[0].front)
            record.write(f"client sends {outer} with Transfer-Encoding: {encoding} and a body that reads like {inner}")
            writer.write(f"POST /unsafe/note HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {outer}\r\n"
                         f"Transfer-Encoding: {encoding}\r\n\r\n".encode() + sent)
            answers = []
            try:
                while True:
                    status, fields, _ = await asyncio.wait_for(read_answer(reader), 1.5)
                    answers.append((status, fields.get("X-Request-Id")))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            writer.close()
            record.say(f"{encoding}: answers {answers}; runs of {outer}: {len(system.runs(outer))}, with bodies of "
                       f"{[len(run[4]) for _, run in system.runs(outer)]} B; runs of {inner}: {len(system.runs(inner))}")
            smuggled += len(system.runs(inner))
        return BROKEN if smuggled else HELD


deployment.run(case, __file__)
