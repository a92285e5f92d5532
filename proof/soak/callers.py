"""Callers, and the network that sends their packets to the balancers."""

import asyncio
import zlib

from . import segments
from .links import datagram_socket, drain
from .segments import ACK, FIN, RST, SYN, Segment, add, distance

CALLERS_PORT, READY_PORT = 8172, 8167
OPENING_COPIES, OPENING_LIMIT = (0.2, 0.6), 1.4
FIRST_REPEAT, LONGEST_REPEAT = 0.2, 1.6
# The longest that a caller waits for an answer, and further attempts that it makes before.
TIMEOUT, RETRIES = 4.0, 2
PROBE_INTERVAL, MISSES = 0.5, 2
ANSWER_LENGTHS = {"safe": 1000, "unsafe": 600, "download": 6000}


class Router:
    """Asks balancers whether they are ready, and spreads flows over those that are."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._loop = asyncio.get_running_loop()
        self._misses = {}
        self._socket = datagram_socket(deployment.address("callers", 200), 0)
        self.salt = 0

    def add(self, balancer):
        self._misses[balancer] = MISSES
        return self._loop.create_task(self._probe(balancer))

    def ready(self):
        ready = [balancer for balancer, misses in self._misses.items() if misses < MISSES]
        return ready if 2 * len(ready) >= len(self._misses) else list(self._misses)

    def is_everyone_ready(self):
        return all(misses == 0 for misses in self._misses.values())

    def send(self, segment):
        if self._deployment.links.is_lost():
            return
        key = f"{segment.source}{segment.destination}{self.salt}"
        balancer = max(self.ready(), key=lambda candidate: zlib.crc32(f"{key}{candidate.name}".encode()))
        if self._deployment.links.is_cut("callers", balancer.name):
            return
        try:
            self._socket.sendto(segment.encode(), (balancer.local, CALLERS_PORT))
        except OSError:
            # A datagram that cannot be sent is lost.
            pass

    async def _probe(self, balancer):
        while True:
            begin = self._loop.time()
            is_ready = False
            if not self._deployment.links.is_cut("callers", balancer.name):
                try:
                    is_ready = await asyncio.wait_for(self._ask(balancer.local), PROBE_INTERVAL)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            self._misses[balancer] = 0 if is_ready else self._misses[balancer] + 1
            await asyncio.sleep(max(0, begin + PROBE_INTERVAL - self._loop.time()))

    @staticmethod
    async def _ask(address):
        reader, writer = await asyncio.open_connection(address, READY_PORT)
        try:
            writer.write(b"GET /rattanpick/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()


class Flow:
    """One attempt of a caller: a flow from a port of its own."""

    def __init__(self, caller, port, route):
        self.caller, self.route = caller, route
        self.source = (segments.address_number(caller.address), port)
        self.key = (self.source, route)
        self.sequence = caller.deployment.random.getrandbits(32)
        self.expected = 0
        self.is_open = self.is_over = False
        self.opened = asyncio.get_running_loop().create_future()
        self.answer = None
        self._received = b""
        self._request = None

    def send(self, flags, data=b"", sequence=None):
        segment = Segment(self.source, self.route, flags, self.sequence if sequence is None else sequence, self.expected, data)
        self.caller.deployment.router.send(segment)

    async def open(self):
        """True if the flow opened; the caller gives up after its copies."""
        begin = asyncio.get_running_loop().time()
        for copy, until in enumerate((*OPENING_COPIES, OPENING_LIMIT)):
            if not self.opened.done():
                self.caller.deployment.router.send(Segment(self.source, self.route, SYN, self.sequence, copy))
            await asyncio.wait([self.opened], timeout=max(0, begin + until - asyncio.get_running_loop().time()))
            if self.opened.done():
                return self.opened.result()
        self.is_over = True
        return False

    async def ask(self, number, kind, deadline):
        """Sends a request and waits for its answer: the status and body, or nothing if the flow ended or time ran out."""
        loop = asyncio.get_running_loop()
        self.answer = loop.create_future()
        padding = 200 if kind == "unsafe" else 0
        data = segments.REQUEST.pack(number, padding, ANSWER_LENGTHS[kind]) + b"x" * padding
        begin = self.sequence
        self._request = (begin, data)
        self.sequence = add(self.sequence, len(data))
        interval = FIRST_REPEAT
        while not self.answer.done() and loop.time() < deadline:
            if self._request:
                self.send(ACK, data, begin)
            await asyncio.wait([self.answer], timeout=min(interval, max(0, deadline - loop.time())))
            interval = min(interval * 2, LONGEST_REPEAT)
        return self.answer.result() if self.answer.done() else None

    def end(self, flags=FIN | ACK):
        if not self.is_over:
            self.is_over = True
            if self.is_open:
                self.send(flags)
        self.caller.flows.pop(self.source[1], None)

    def receive(self, segment):
        if segment.flags & RST:
            self._reset(segment)
        elif not segment.is_genuine():
            self.caller.history.violate("mixed", self.key, "a caller got a packet that its target did not write so")
        elif segment.flags & SYN:
            if not self.is_open and segment.acknowledgement == add(self.sequence, 1):
                self.is_open = True
                self.sequence = add(self.sequence, 1)
                self.expected = add(segment.sequence, 1)
                self.caller.deployment.flow_opened(self.key)
                if not self.opened.done():
                    self.opened.set_result(True)
        elif self.is_open:
            self._take(segment)

    def _reset(self, segment):
        is_system = segment.checksum == 0
        if not is_system and not segment.is_genuine():
            self.caller.history.violate("mixed", self.key, "a caller got a reset that nobody wrote so")
        if self.is_open and not 0 <= distance(segment.sequence, self.expected) + segments.RESET_WINDOW <= 2 * segments.RESET_WINDOW:
            return
        if self.is_open and is_system:
            self.caller.deployment.judge_reset(self.key)
        self.is_over = True
        for future, result in ((self.opened, False), (self.answer, None)):
            if future is not None and not future.done():
                future.set_result(result)

    def _take(self, segment):
        if self._request and distance(segment.acknowledgement, add(self._request[0], len(self._request[1]))) >= 0:
            self._request = None
        if segment.data and segment.sequence == self.expected:
            self.expected = add(self.expected, len(segment.data))
            self._received += segment.data
            self._read_answer()
        if segment.data or segment.flags & FIN:
            self.send(ACK)

    def _read_answer(self):
        if len(self._received) < segments.ANSWER.size:
            return
        number, status, length = segments.ANSWER.unpack_from(self._received)
        whole = segments.ANSWER.size + length
        if len(self._received) < whole:
            return
        text, self._received = self._received[segments.ANSWER.size:whole], self._received[whole:]
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((number, status, text))


class Caller:
    """One address of callers; makes requests on long flows or on a flow each."""

    def __init__(self, deployment, index):
        self.deployment, self.history = deployment, deployment.history
        self.address = deployment.address("callers", index + 1)
        self.flows = {}
        self._next_port = 20000
        self._loop = asyncio.get_running_loop()
        self._socket = datagram_socket(self.address, CALLERS_PORT)
        self._loop.add_reader(self._socket, drain, self._socket, lambda packet, sender: self._receive(packet))

    def close(self):
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _receive(self, packet):
        segment = segments.decode(packet)
        flow = self.flows.get(segment.destination[1]) if segment else None
        if flow is not None and not self.deployment.links.is_lost():
            flow.receive(segment)

    async def open_flow(self, route):
        self._next_port += 1
        flow = Flow(self, self._next_port, route)
        self.flows[self._next_port] = flow
        is_open = await flow.open()
        return flow, is_open

    async def request(self, kind, route, flow=None):
        """Makes one request; the flow that it may go on with, or nothing."""
        request = self.history.begin(kind)
        deadline = self._loop.time() + TIMEOUT
        cause = "timeout"
        while request.attempts <= RETRIES and self._loop.time() < deadline:
            request.attempts += 1
            is_open = flow is not None and not flow.is_over
            if not is_open:
                flow, is_open = await self.open_flow(route)
            if not is_open:
                cause = f"not opened from port {flow.source[1]}"
                flow.end()
                continue
            answer = await flow.ask(request.number, kind, deadline)
            if answer is None:
                cause = f"{'reset' if flow.is_over else 'no answer'} on port {flow.source[1]}"
                flow.end(RST | ACK)
                if kind == "unsafe":
                    break
                continue
            number, status, text = answer
            if number != request.number or (status == segments.ANSWERED and text != segments.body(number, ANSWER_LENGTHS[kind])):
                self.history.violate("mixed", request.number, f"request {request.number} got the answer {number} with {len(text)} bytes")
            if status == segments.ANSWERED:
                self.history.finish(request, "answered")
                return flow
            cause = "refused by its target"
        self.history.finish(request, "failed", cause)
        self.history.note(f"request {request.number} ({kind}) from {self.address} failed: {cause}")
        return None

    async def keep_asking(self, route, pause, end):
        """A long flow with a request now and then."""
        flow = None
        while self._loop.time() < end:
            flow = await self.request("safe", route, flow)
            await asyncio.sleep(pause * (0.5 + self.deployment.random.random()))
        if flow is not None:
            flow.end()

    async def ask_once(self, kind, route):
        flow = await self.request(kind, route)
        if flow is not None:
            flow.end()
