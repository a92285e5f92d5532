"""Callers, and the router that forwards their packets to the balancers."""

import asyncio
import collections
import zlib

from . import segments
from .links import datagram_socket, drain
from .segments import ACK, FIN, RST, SYN, Segment, add, distance

CALLERS_PORT, READY_PORT = 8172, 8167
OPENING_REPEAT_SECONDS, OPENING_TIMEOUT_SECONDS = (0.2, 0.6), 1.4
FIRST_RETRANSMIT_SECONDS, LONGEST_RETRANSMIT_SECONDS = 0.2, 1.6
# Time that a caller waits for the answer to a request, and the number of further attempts that it makes within it.
REQUEST_TIMEOUT_SECONDS, REQUEST_RETRIES = 4.0, 2
PROBE_INTERVAL_SECONDS, FAILED_PROBES_LIMIT = 0.5, 2
# Time from the end of a flow until its port is used again.
PORT_REUSE_SECONDS = 0.3
ANSWER_LENGTHS = {"safe": 1000, "unsafe": 600, "download": 6000}


class Router:
    """Probes the readiness of the balancers and distributes flows over those that are ready."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._loop = asyncio.get_running_loop()
        self._failed_probes = {}
        self._socket = datagram_socket(deployment.address("callers", 200), 0)
        self.salt = 0

    def add(self, balancer):
        self._failed_probes[balancer] = FAILED_PROBES_LIMIT
        return self._loop.create_task(self._probe(balancer))

    def ready(self):
        ready = [balancer for balancer, failures in self._failed_probes.items() if failures < FAILED_PROBES_LIMIT]
        return ready if 2 * len(ready) >= len(self._failed_probes) else list(self._failed_probes)

    def are_all_ready(self):
        return all(failures == 0 for failures in self._failed_probes.values())

    def send(self, segment):
        if self._deployment.links.is_lost():
            return
        self._deployment.history.arrivals.record_sent((segment.source, segment.destination), segment.identity())
        key = f"{segment.source}{segment.destination}{self.salt}"
        balancer = max(self.ready(), key=lambda candidate: zlib.crc32(f"{key}{candidate.name}".encode()))
        if self._deployment.links.is_cut("callers", balancer.name):
            return
        try:
            self._socket.sendto(segment.encode(), (balancer.local, CALLERS_PORT))
        except OSError:
            # A datagram that cannot be sent counts as lost.
            pass

    async def _probe(self, balancer):
        while True:
            begin = self._loop.time()
            is_ready = False
            if not self._deployment.links.is_cut("callers", balancer.name):
                try:
                    is_ready = await asyncio.wait_for(self._is_ready(balancer.local), PROBE_INTERVAL_SECONDS)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            self._failed_probes[balancer] = 0 if is_ready else self._failed_probes[balancer] + 1
            await asyncio.sleep(max(0, begin + PROBE_INTERVAL_SECONDS - self._loop.time()))

    @staticmethod
    async def _is_ready(address):
        reader, writer = await asyncio.open_connection(address, READY_PORT)
        try:
            writer.write(b"GET /rattanpick/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()


class Flow:
    """One flow of a caller, from a port that no other open flow uses."""

    def __init__(self, caller, port, route):
        self.caller, self.route = caller, route
        self.source = (segments.address_number(caller.address), port)
        self.key = (self.source, route)
        self.sequence = caller.deployment.random.getrandbits(32)
        self.expected = 0
        self.is_open = self.is_ended = False
        self.opened = asyncio.get_running_loop().create_future()
        self.answer = None
        self._received = b""
        self._request = None

    def send(self, flags, data=b"", sequence=None):
        segment = Segment(self.source, self.route, flags, self.sequence if sequence is None else sequence, self.expected, data)
        self.caller.deployment.router.send(segment)

    async def open(self):
        """Sends the opening and repeats it; returns whether the flow opened within the timeout."""
        begin = asyncio.get_running_loop().time()
        for copy, until in enumerate((*OPENING_REPEAT_SECONDS, OPENING_TIMEOUT_SECONDS)):
            if not self.opened.done():
                self.caller.deployment.router.send(Segment(self.source, self.route, SYN, self.sequence, copy))
            await asyncio.wait([self.opened], timeout=max(0, begin + until - asyncio.get_running_loop().time()))
            if self.opened.done():
                return self.opened.result()
        self.is_ended = True
        return False

    async def send_request(self, number, kind, deadline):
        """Sends a request and waits for its answer.

        Returns number, status and body, or None if the flow ended or the deadline passed.
        """
        loop = asyncio.get_running_loop()
        self.answer = loop.create_future()
        padding = 200 if kind == "unsafe" else 0
        data = segments.REQUEST.pack(number, padding, ANSWER_LENGTHS[kind]) + b"x" * padding
        begin = self.sequence
        self._request = (begin, data)
        self.sequence = add(self.sequence, len(data))
        interval = FIRST_RETRANSMIT_SECONDS
        while not self.answer.done() and loop.time() < deadline:
            if self._request:
                self.send(ACK, data, begin)
            await asyncio.wait([self.answer], timeout=min(interval, max(0, deadline - loop.time())))
            interval = min(interval * 2, LONGEST_RETRANSMIT_SECONDS)
        return self.answer.result() if self.answer.done() else None

    def end(self, flags=FIN | ACK):
        if not self.is_ended:
            self.is_ended = True
            if self.is_open:
                self.send(flags)
        self.caller.release_port(self)

    def receive(self, segment):
        if segment.flags & RST:
            self._reset(segment)
        elif not segment.is_intact():
            self.caller.history.add_violation("mixed", self.key, "a caller received a packet that differs from what its target sent")
        elif segment.flags & SYN:
            if not self.is_open and segment.acknowledgement == add(self.sequence, 1):
                self.is_open = True
                self.sequence = add(self.sequence, 1)
                self.expected = add(segment.sequence, 1)
                self.caller.deployment.flow_opened(self.key)
                if not self.opened.done():
                    self.opened.set_result(True)
        elif self.is_open:
            self._receive_data(segment)

    def _reset(self, segment):
        is_system = segment.checksum == 0
        if not is_system and not segment.is_intact():
            self.caller.history.add_violation("mixed", self.key, "a caller received a reset that neither a target nor the load balancer sent")
        if self.is_open and not 0 <= distance(segment.sequence, self.expected) + segments.RESET_WINDOW_BYTES <= 2 * segments.RESET_WINDOW_BYTES:
            return
        if self.is_open and is_system:
            self.caller.deployment.check_reset(self.key, self.sequence, self.expected)
        self.is_ended = True
        for future, result in ((self.opened, False), (self.answer, None)):
            if future is not None and not future.done():
                future.set_result(result)

    def _receive_data(self, segment):
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
    """One caller address; sends requests on long flows, or each on a flow of its own."""

    def __init__(self, deployment, index):
        self.deployment, self.history = deployment, deployment.history
        self.address = deployment.address("callers", index + 1)
        self.flows = {}
        self._next_port = 20000
        # Ports whose flows have ended, and when each may be used again.
        self._released_ports = collections.deque()
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

    def release_port(self, flow):
        port = flow.source[1]
        if self.flows.get(port) is flow:
            del self.flows[port]
            self._released_ports.append((port, self._loop.time() + PORT_REUSE_SECONDS))

    def _take_port(self):
        if self._released_ports and self._loop.time() >= self._released_ports[0][1]:
            return self._released_ports.popleft()[0]
        self._next_port += 1
        return self._next_port

    async def open_flow(self, route):
        port = self._take_port()
        flow = Flow(self, port, route)
        self.flows[port] = flow
        is_open = await flow.open()
        return flow, is_open

    async def request(self, kind, route, flow=None):
        """Makes one request. Returns the flow for further requests, or None if the request failed."""
        request = self.history.begin_request(kind)
        deadline = self._loop.time() + REQUEST_TIMEOUT_SECONDS
        cause = "timeout"
        while request.attempts <= REQUEST_RETRIES and self._loop.time() < deadline:
            request.attempts += 1
            is_open = flow is not None and not flow.is_ended
            if not is_open:
                flow, is_open = await self.open_flow(route)
            if not is_open:
                cause = f"not opened from port {flow.source[1]}"
                flow.end()
                continue
            answer = await flow.send_request(request.number, kind, deadline)
            if answer is None:
                cause = f"{'reset' if flow.is_ended else 'no answer'} on port {flow.source[1]}"
                flow.end(RST | ACK)
                if kind == "unsafe":
                    break
                continue
            number, status, text = answer
            if number != request.number or (status == segments.ANSWERED and text != segments.body(number, ANSWER_LENGTHS[kind])):
                self.history.add_violation("mixed", request.number, f"request {request.number} received answer {number} with {len(text)} bytes")
            if status == segments.ANSWERED:
                self.history.finish_request(request, "answered")
                return flow
            cause = "refused by its target"
        self.history.finish_request(request, "failed", cause)
        self.history.log_event(f"request {request.number} ({kind}) from {self.address} failed: {cause}")
        return None

    async def run_long_flow(self, route, pause, end):
        """Keeps a flow open until `end` and sends a request at random intervals; reopens the flow if it ends."""
        flow = None
        while self._loop.time() < end:
            flow = await self.request("safe", route, flow)
            await asyncio.sleep(pause * (0.5 + self.deployment.random.random()))
        if flow is not None:
            flow.end()

    async def run_short_flow(self, kind, route):
        flow = await self.request(kind, route)
        if flow is not None:
            flow.end()
