"""Stand-in for the platform's metadata store, with one listening address per process so that a fault can affect one."""

import asyncio
import base64
import json
import urllib.parse

PORT = 8169
# Small, so that a range read spans several pages.
ITEMS_PER_PAGE = 8
# Time that an answer takes, normally and in the mode "slow".
ANSWER_SECONDS, SLOW_ANSWER_SECONDS = 0.004, 0.4
# Events that are kept for watches.
MAXIMUM_EVENTS = 200


class Store:
    """Holds the items and serves reads and watches over HTTP; the soak writes items directly."""

    def __init__(self, history, random):
        self._history = history
        self._random = random
        self.items = {}
        self.revision = 1000
        self._events = []
        self._compacted_revision = 1000
        self._changed = asyncio.Event()
        self._servers = []
        # Fault mode by process name: ok, silent, busy, limited, reset, slow, garbage, lost; "*" stands for all processes.
        self.modes = {}

    # Writing

    def put(self, key, value):
        self.revision += 1
        encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["create-revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(encoded).decode(), "revision": self.revision,
                           "create-revision": created, "lease": 0}
        self._append_event(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "removed": True})

    def compact(self):
        """Drops all events: watches from an older revision get status 410 and must read everything again."""
        self._compacted_revision = self.revision
        self._events.clear()
        self._notify_watches()

    def is_stable(self):
        return all(mode == "ok" for mode in self.modes.values())

    def _append_event(self, event):
        self._events.append(event)
        if len(self._events) > MAXIMUM_EVENTS:
            self._compacted_revision = self._events.pop(0)["revision"]
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    # Serving

    async def listen(self, process, address):
        server = await asyncio.start_server(lambda reader, writer: self._serve(process, reader, writer), address, PORT)
        self._servers.append(server)

    def close(self):
        for server in self._servers:
            server.close()

    def _mode(self, process):
        return self.modes.get("*") or self.modes.get(process, "ok")

    async def _serve(self, process, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                if not await self._answer(process, path, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, process, path, writer):
        mode = self._mode(process)
        if mode == "silent":
            await asyncio.sleep(60)
            return False
        if mode == "reset":
            writer.transport.abort()
            return False
        if mode in ("busy", "limited"):
            return await self._send(writer, 503 if mode == "busy" else 429, {})
        await asyncio.sleep(SLOW_ANSWER_SECONDS if mode == "slow" else ANSWER_SECONDS)
        split = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(split.query, keep_blank_values=True))
        status, body = await self._handlers[split.path](self, query) if split.path in self._handlers else (404, {})
        if mode == "lost" and self._random.random() < 0.5:
            return False
        if mode == "garbage":
            return await self._send(writer, 200, None)
        return await self._send(writer, status, body)

    async def _send(self, writer, status, body):
        text = b"\x00{not json" if body is None else json.dumps(body).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
        await writer.drain()
        return True

    async def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:ITEMS_PER_PAGE]]
        return 200, {"items": page, "has-more": len(keys) > ITEMS_PER_PAGE, "current-rev": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = self._history.clock() + int(query.get("wait-ms", "0")) / 1000
        while True:
            if after < self._compacted_revision:
                return 410, {}
            events = [event for event in self._events if event["revision"] > after and event["key"].startswith(prefix)]
            left = deadline - self._history.clock()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    _handlers = {"/rattanpick/kv-range": _range, "/rattanpick/kv-watch": _watch}
