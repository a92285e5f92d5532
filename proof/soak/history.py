"""Observations of a run and the checks on them. Uses only what is visible outside the daemons."""

import collections
import dataclasses

from .arrivals import Arrivals

# Upper bounds for a change to take effect, as required by the smallest deployments of the users.
DRAIN_BOUND_SECONDS, OUT_BOUND_SECONDS, ROUTE_BOUND_SECONDS = 3.0, 5.0, 3.0
# A process counts as undisturbed once no fault has affected it for this long.
SETTLING_SECONDS = 4.0
# Openings that a cold target may receive in any second: its rate times the factor, plus the slack.
COLD_FACTOR, COLD_SLACK = 1.5, 5
# Share of the requests that must be served once the faults have been over for the recovery bound.
RECOVERED_SHARE, RECOVERY_BOUND_SECONDS = 0.9, 6.0


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
    """Records what callers, targets and the network observe, and the violations found in it."""

    def __init__(self, clock):
        self.clock = clock
        self._start_time = clock()
        self.requests = []
        self.run_counts = collections.Counter()
        self.violations = []
        self.timeline = []
        self._disturbed_until = {}
        self._recorded = set()
        self.faults_end = None
        self.is_planned_only = True
        self.arrivals = Arrivals(self)

    def log_event(self, text):
        self.timeline.append(f"{self.clock() - self._start_time:9.3f} {text}")

    def add_violation(self, rule, key, text):
        """Records a violation; repeated violations of a rule with the same key are recorded once."""
        if (rule, key) in self._recorded:
            return
        self._recorded.add((rule, key))
        self.violations.append((rule, text))
        self.log_event(f"VIOLATION {rule}: {text}")

    # Disturbances

    def mark_disturbed(self, process, until=None):
        """Marks a process as disturbed by a fault of it or its links until SETTLING_SECONDS after `until` (default: now)."""
        self._disturbed_until[process] = max(self._disturbed_until.get(process, 0), until or self.clock())

    def mark_all_disturbed(self):
        self._disturbed_until["*"] = self.clock()

    def is_undisturbed(self, *processes):
        now = self.clock()
        return all(now - self._disturbed_until.get(process, float("-inf")) >= SETTLING_SECONDS for process in (*processes, "*"))

    # Requests

    def begin_request(self, kind):
        request = Request(len(self.requests) + 1, kind, self.clock())
        self.requests.append(request)
        return request

    def finish_request(self, request, result, cause=""):
        if request.result == "pending":
            request.result, request.cause, request.end = result, cause, self.clock()

    def record_run(self, number, target):
        """Records that a target starts to run a request."""
        if not 1 <= number <= len(self.requests):
            self.add_violation("unasked", number, f"{target} runs request {number} that no caller sent")
            return
        self.run_counts[number] += 1
        if self.run_counts[number] > 1 and self.requests[number - 1].kind == "unsafe":
            self.add_violation("doubled", number, f"request {number} runs for the second time, at {target}")

    def check_completed_run(self):
        """Runs the checks that need the records of the whole run."""
        if self.faults_end is None:
            return
        late = [request for request in self.requests if request.begin >= self.faults_end + RECOVERY_BOUND_SECONDS and request.end]
        served = sum(request.result == "answered" for request in late)
        if not late or served < RECOVERED_SHARE * len(late):
            self.add_violation("recover", 0, f"{served} of {len(late)} requests served after the faults had ended")
        if self.is_planned_only:
            for request in self.requests:
                if request.end and request.result != "answered":
                    self.add_violation("planned", request.number, f"request {request.number} ({request.kind}) ended as {request.result} ({request.cause}) "
                                                                  f"at {request.end - self._start_time:.3f} although every change was planned")
