"""What was seen and what it breaks. Nothing here looks into the daemons."""

import collections
import dataclasses

# Bounds of the promises, in seconds; those of the users' smallest deployments.
DRAIN_BOUND, OUT_BOUND, ROUTE_BOUND = 3.0, 5.0, 3.0
# A process counts as undisturbed once nothing was done to it for this long.
SETTLING = 4.0
# A cold target bears this factor times its rate in any second, and the slack on top.
COLD_FACTOR, COLD_SLACK = 1.5, 5
# The share of the last requests that must be served once faults have ended, and how long they have ended by then.
RECOVERED_SHARE, RECOVERY_BOUND = 0.9, 6.0


@dataclasses.dataclass
class Request:
    number: int
    kind: str
    begin: float
    attempts: int = 0
    end: float = None
    result: str = "pending"
    cause: str = ""


class History:
    """Collects what callers, targets and the network see, and the violations found in it."""

    def __init__(self, clock):
        self.clock = clock
        self._begin = clock()
        self.requests = []
        self.runs = collections.Counter()
        self.violations = []
        self.timeline = []
        self._disturbed = {}
        self._known = set()
        self.faults_end = None
        self.is_planned_only = True

    def note(self, text):
        self.timeline.append(f"{self.clock() - self._begin:9.3f} {text}")

    def violate(self, rule, key, text):
        """Records a violation; one of the same rule about the same thing is recorded once."""
        if (rule, key) in self._known:
            return
        self._known.add((rule, key))
        self.violations.append((rule, text))
        self.note(f"VIOLATION {rule}: {text}")

    # Disturbances

    def disturb(self, process, until=None):
        """Something was done to a process or its links; it counts as disturbed until some time after."""
        self._disturbed[process] = max(self._disturbed.get(process, 0), until or self.clock())

    def disturb_all(self):
        self._disturbed["*"] = self.clock()

    def is_undisturbed(self, *processes):
        now = self.clock()
        return all(now - self._disturbed.get(process, float("-inf")) >= SETTLING for process in (*processes, "*"))

    # Requests

    def begin(self, kind):
        request = Request(len(self.requests) + 1, kind, self.clock())
        self.requests.append(request)
        return request

    def finish(self, request, result, cause=""):
        if request.result == "pending":
            request.result, request.cause, request.end = result, cause, self.clock()

    def run(self, number, target):
        """A target begins to work on a request."""
        if not 1 <= number <= len(self.requests):
            self.violate("unasked", number, f"{target} runs request {number} that no caller sent")
            return
        self.runs[number] += 1
        if self.runs[number] > 1 and self.requests[number - 1].kind == "unsafe":
            self.violate("doubled", number, f"request {number} runs for the second time, at {target}")

    def judge_end(self):
        """The checks that need the whole run."""
        if self.faults_end is None:
            return
        late = [request for request in self.requests if request.begin >= self.faults_end + RECOVERY_BOUND and request.end]
        served = sum(request.result == "answered" for request in late)
        if not late or served < RECOVERED_SHARE * len(late):
            self.violate("recover", 0, f"{served} of {len(late)} requests served after the faults had ended")
        if self.is_planned_only:
            for request in self.requests:
                if request.end and request.result != "answered":
                    self.violate("planned", request.number, f"request {request.number} ({request.kind}) ended as {request.result} "
                                                            f"({request.cause}) at {request.end - self._begin:.3f} although every change was planned")
