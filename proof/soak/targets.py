"""Targets: each holds the state of its own flows, and returns packets of unknown flows to its agent."""

import asyncio
import collections
import dataclasses
import socket

from . import segments
from .links import datagram_socket, drain
from .segments import ACK, BOUNCED, FIN, RST, SYN, Segment, add, distance

APP_PORT, OUTBOUND_PORT = 8080, 8173
SLOTS, QUEUE = 5, 20
FIRST_RETRANSMIT_SECONDS, LONGEST_RETRANSMIT_SECONDS, MAXIMUM_RETRANSMITS = 0.2, 1.6, 8
WINDOW_PACKETS = 16


@dataclasses.dataclass(eq=False)
class Flow:
    key: tuple
    sequence: int
    expected: int
    opening_sequence: int = 0
    is_open: bool = False
    has_ended: bool = False
    received: bytes = b""
    unacknowledged: collections.deque = dataclasses.field(default_factory=collections.deque)
    unsent: collections.deque = dataclasses.field(default_factory=collections.deque)
    retransmit_timer: asyncio.TimerHandle = None
    retransmits: int = 0

    def fits(self, sequence, acknowledgement):
        """Whether sequence numbers of the caller belong to this flow, and not to another one between the same endpoints."""
        return segments.are_near(sequence, self.expected) and segments.are_near(acknowledgement, self.sequence)


class Target:
    """One incarnation of a target, on the machine of its agent."""

    def __init__(self, deployment, name, machine, service, started_at):
        self.deployment, self.name, self.machine, self.service, self.started_at = deployment, name, machine, service, started_at
        self.history = deployment.history
        self.state = "ready"
        self.is_alive = False
        self.cold_until = 0
        # Time at which the store acknowledged the drain; None if it did not.
        self.draining_since = None
        self.openings = collections.deque()
        self._flows = {}
        self._busy = 0
        self._queue = collections.deque()
        self._loop = asyncio.get_running_loop()

    async def start(self):
        self._socket = datagram_socket(self.machine.public, APP_PORT)
        self._loop.add_reader(self._socket, drain, self._socket, lambda packet, sender: self._receive(packet))
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.machine.public, APP_PORT))
        self._server = await asyncio.start_server(lambda reader, writer: writer.close(), sock=self._listener)
        self.is_alive = True

    def crash(self):
        """Ends the target at once and loses its flows."""
        self.is_alive = False
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._server.close()
        for flow in self._flows.values():
            self._end(flow)
        self._flows.clear()

    def holds(self, key):
        return self.find_open(key) is not None

    def find_open(self, key):
        """The open flow with the key, or None."""
        flow = self._flows.get(key)
        return flow if self.is_alive and flow is not None and flow.is_open and not flow.has_ended else None

    def entry(self):
        cold = max(0, int((self.cold_until - self.history.clock()) * 1000))
        return {"service": self.service, "address": f"{self.machine.public}:{APP_PORT}", "zone": self.machine.zone, "version": "1",
                "slots": SLOTS, "state": self.state, "warmup-left-ms": cold, "seq": self.deployment.next_sequence(), "born": self.started_at}

    # Packets

    def _send_packet(self, packet):
        try:
            self._socket.sendto(packet, (self.machine.local, OUTBOUND_PORT))
        except OSError:
            # The agent of this target is down, so the packet is lost.
            pass

    def _bounce(self, segment):
        self._send_packet(segment.encode(segment.tag, segment.flags | BOUNCED))

    def _send_segment(self, flow, flags, data=b"", sequence=None):
        caller, route = flow.key
        self._send_packet(Segment(route, caller, flags, flow.sequence if sequence is None else sequence, flow.expected, data).encode())

    def _receive(self, packet):
        segment = segments.decode(packet)
        key = (segment.source, segment.destination)
        if not segment.is_intact():
            self.history.add_violation("changed", key, f"{self.name} received a packet that differs from what its caller sent")
            return
        if not self.deployment.may_serve(segment.destination, self.service):
            self.history.add_violation("service", key, f"{self.name} of {self.service} received a packet for {segment.destination}")
        if segment.flags & SYN:
            self._open(key, segment)
            return
        flow = self._flows.get(key)
        self.deployment.record_arrival(self, key, segment)
        if flow is None or (not flow.is_open and segment.acknowledgement != flow.sequence):
            self._bounce(segment)
            return
        if flow.has_ended:
            if not segment.flags & RST:
                self._send_segment(flow, RST if segment.data else ACK)
            return
        if not flow.fits(segment.sequence, segment.acknowledgement):
            # A packet of another flow between the same endpoints.
            if not segment.flags & RST:
                self._send_segment(flow, ACK)
            return
        flow.is_open = True
        if segment.flags & RST:
            self._end(flow)
            self._flows.pop(key, None)
            return
        self._acknowledge(flow, segment.acknowledgement)
        if segment.data:
            self._receive_data(flow, segment)
        if segment.flags & FIN:
            flow.expected = add(flow.expected, 1)
            self._send_segment(flow, FIN | ACK)
            self._end(flow)

    def _open(self, key, segment):
        if segment.flags & ACK:
            self.history.add_violation("forged", key, f"{self.name} received an answer to an opening")
            return
        flow = self._flows.get(key)
        if flow is not None and flow.opening_sequence != segment.sequence:
            if flow.is_open and not flow.has_ended:
                self._bounce(segment)
                return
            flow = None
        if flow is None:
            self.deployment.check_opening(self, segment.destination)
            flow = Flow(key, self.deployment.random.getrandbits(32), add(segment.sequence, 1), segment.sequence)
            flow.sequence = add(flow.sequence, 1)
            self._flows[key] = flow
        self._send_segment(flow, SYN | ACK, sequence=add(flow.sequence, -1))

    def _acknowledge(self, flow, acknowledgement):
        while flow.unacknowledged and distance(acknowledgement, add(flow.unacknowledged[0][0], len(flow.unacknowledged[0][1]))) >= 0:
            flow.unacknowledged.popleft()
            flow.retransmits = 0
        self._send_window(flow)

    def _receive_data(self, flow, segment):
        if segment.sequence == flow.expected:
            flow.expected = add(flow.expected, len(segment.data))
            flow.received += segment.data
            while len(flow.received) >= segments.REQUEST.size:
                number, padding, length = segments.REQUEST.unpack_from(flow.received)
                if len(flow.received) < segments.REQUEST.size + padding:
                    break
                flow.received = flow.received[segments.REQUEST.size + padding:]
                self._accept_request(flow, number, length)
        self._send_segment(flow, ACK)

    # Requests

    def _accept_request(self, flow, number, length):
        if self._busy < SLOTS:
            self._run_request(flow, number, length)
        elif len(self._queue) < QUEUE:
            self._queue.append((flow, number, length))
        else:
            self._send_answer(flow, segments.ANSWER.pack(number, segments.NOT_RUN, 0))

    def _run_request(self, flow, number, length):
        self._busy += 1
        self.history.record_run(number, self.name)
        work = 0.005 + self.deployment.random.random() * 0.03
        self._loop.call_later(work, self._complete_request, flow, number, length)

    def _complete_request(self, flow, number, length):
        if not self.is_alive:
            return
        self._busy -= 1
        self._send_answer(flow, segments.ANSWER.pack(number, segments.ANSWERED, length) + segments.body(number, length))
        if self._queue:
            self._run_request(*self._queue.popleft())

    def _send_answer(self, flow, text):
        for begin in range(0, len(text), segments.MAXIMUM_DATA_BYTES):
            flow.unsent.append(text[begin:begin + segments.MAXIMUM_DATA_BYTES])
        self._send_window(flow)

    def _send_window(self, flow):
        while flow.unsent and len(flow.unacknowledged) < WINDOW_PACKETS and not flow.has_ended:
            data = flow.unsent.popleft()
            flow.unacknowledged.append((flow.sequence, data))
            self._send_segment(flow, ACK, data)
            flow.sequence = add(flow.sequence, len(data))
        if flow.unacknowledged and flow.retransmit_timer is None:
            flow.retransmit_timer = self._loop.call_later(FIRST_RETRANSMIT_SECONDS, self._retransmit, flow, FIRST_RETRANSMIT_SECONDS)

    def _retransmit(self, flow, interval):
        flow.retransmit_timer = None
        if not flow.unacknowledged or not self.is_alive or flow.has_ended:
            return
        flow.retransmits += 1
        if flow.retransmits > MAXIMUM_RETRANSMITS:
            self._end(flow)
            return
        for sequence, data in flow.unacknowledged:
            self._send_segment(flow, ACK, data, sequence)
        longer = min(interval * 2, LONGEST_RETRANSMIT_SECONDS)
        flow.retransmit_timer = self._loop.call_later(longer, self._retransmit, flow, longer)

    def _end(self, flow):
        if flow.is_open and not flow.has_ended:
            self.history.arrivals.end_flow(flow, self.name)
        flow.has_ended = True
        if flow.retransmit_timer:
            flow.retransmit_timer.cancel()
            flow.retransmit_timer = None
        flow.unacknowledged.clear()
        flow.unsent.clear()
