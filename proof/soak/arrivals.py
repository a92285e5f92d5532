"""Packets of open flows as targets receive them, and the check that they reach the target that holds the flow."""

import collections
import dataclasses

# A flow is misrouted if this many of its packets reach other targets within the span, and none its own. A packet that its caller
# repeats counts each time. One that is sent once counts once, to however many targets a lookup has passed it, and not at all if
# its own target has taken it: a target that has stopped reading takes its copy much later than the others.
MISROUTED_PACKETS, MISROUTED_SECONDS = 3, 2.0
# Copies of one packet, such as the probes of one lookup, usually arrive within this time.
COPIES_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Stray:
    at: float
    packet: tuple
    target: str
    is_undisturbed: bool


class Arrivals:
    """Records the packets of each flow that reach other targets since the latest one that has reached its own."""

    def __init__(self, history):
        self._history = history
        self._latest_own = {}
        # How often callers have sent each packet, and how often the own target has taken it.
        self._sent = collections.Counter()
        self._taken = collections.Counter()
        self._strays = collections.defaultdict(list)

    def record_sent(self, key, packet):
        self._sent[key, packet] += 1

    def record_own(self, flow, packet, holder):
        self._taken[flow.key, packet] += 1
        self._check(flow, holder, self._history.clock())
        self._latest_own[flow] = self._history.clock()

    def record_stray(self, flow, packet, target, is_undisturbed):
        now = self._history.clock()
        if any(now - stray.at < COPIES_SECONDS and stray.packet == packet for stray in self._strays[flow]):
            return
        self._strays[flow].append(Stray(now, packet, target, is_undisturbed))

    def end_flow(self, flow, holder):
        """The flow ends at its target: what reached other targets until now counts."""
        self._check(flow, holder, self._history.clock())
        self._latest_own.pop(flow, None)

    def _check(self, flow, holder, now):
        strays = self._strays.pop(flow, [])
        begin = self._latest_own.get(flow)
        if begin is None or now - begin < MISROUTED_SECONDS:
            return
        strays = self._without_copies(flow, strays)
        for index in range(len(strays) - MISROUTED_PACKETS + 1):
            span = strays[index:index + MISROUTED_PACKETS]
            if span[-1].at - span[0].at <= MISROUTED_SECONDS and all(stray.is_undisturbed for stray in span):
                targets = ", ".join(sorted({stray.target for stray in span}))
                self._history.add_violation("misrouted", flow, f"{len(span)} packets of the flow from port {flow.key[0][1]} at {holder} reached "
                                                               f"{targets} within {span[-1].at - span[0].at:.2f} s, and none its own")
                return

    def _without_copies(self, flow, strays):
        """The strays without those that can only be further copies of what the caller has sent."""
        counts = collections.Counter()
        kept = []
        for stray in strays:
            missed = self._sent[flow.key, stray.packet] - self._taken[flow.key, stray.packet]
            if counts[stray.packet] < missed:
                counts[stray.packet] += 1
                kept.append(stray)
        return kept
