"""Runs a small deployment on loopback for a case of the review: the real daemons, with the stand-ins of proof/soak.

The store here follows a passage of the users' pages that the store of the soak does not play: its answers have the
header Store-Era, and it can come back from an older copy. An entry changes only when more than its sequence number
changes, so that heartbeats need not be played.
"""

import asyncio
import base64
import copy
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from proof.soak import deployment as soak_module  # noqa: E402
from proof.soak import run as soak  # noqa: E402
from proof.soak.deployment import Deployment  # noqa: E402
from proof.soak.history import History  # noqa: E402
from proof.soak.segments import SYN  # noqa: E402
from proof.soak.store import Store  # noqa: E402
from proof.soak.targets import Target  # noqa: E402

# A case may take 120 seconds.
LIMIT_SECONDS = 110
PROGRAM = "target/apps/rattanpickd/rattanpickd"


class ReviewStore(Store):
    """The store of the soak, with eras, and with its connections ended while it is away."""

    def __init__(self, history, chance):
        super().__init__(history, chance)
        self.era = 1
        # Processes whose watches wait, or whose answers to one are on their way.
        self.watching = set()
        # By process, how much longer than to the nearest ones its answers are on their way, in seconds.
        self.distances = {}
        self._processes = {}
        self._copies = []
        self._writers = set()
        self._keep_copy()

    def _keep_copy(self):
        self._copies.append((self._history.clock(), self.revision, copy.deepcopy(self.items)))

    def put(self, key, value):
        super().put(key, value)
        self._keep_copy()

    def remove(self, key):
        super().remove(key)
        self._keep_copy()

    def is_up(self):
        return self._mode("*") == "ok"

    def go_away(self):
        self.modes["*"] = "reset"
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self):
        self.modes.pop("*", None)

    def restore(self, age):
        """Takes the place of the store by its copy of `age` seconds ago. Called while the store is away."""
        limit = self._history.clock() - age
        old = [item for item in self._copies if item[0] <= limit][-1]
        self._copies = [item for item in self._copies if item[0] <= limit]
        self.revision, self.items = old[1], copy.deepcopy(old[2])
        self._events = [event for event in self._events if event["revision"] <= self.revision]
        self._compacted_revision = min(self._compacted_revision, self.revision)
        self.era += 1

    def rewrite(self, key, encoded):
        """Writes an encoded value again that the store has lost."""
        self.put(key, base64.b64decode(encoded))

    async def _serve(self, process, reader, writer):
        self._writers.add(writer)
        self._processes[writer] = process
        try:
            await super()._serve(process, reader, writer)
        finally:
            self._writers.discard(writer)
            self._processes.pop(writer)

    async def _answer(self, process, path, writer):
        if not path.startswith("/rattanpick/kv-watch"):
            return await super()._answer(process, path, writer)
        self.watching.add(process)
        try:
            return await super()._answer(process, path, writer)
        finally:
            self.watching.discard(process)

    async def _send(self, writer, status, body):
        distance = self.distances.get(self._processes.get(writer), 0)
        if distance > 0:
            await asyncio.sleep(distance)
        text = json.dumps(body).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                     % (status, self.era, len(text)) + text)
        await writer.drain()
        return True

    async def _watch(self, query):
        # A revision that the store does not have.
        if int(query["after"]) > self.revision:
            return 410, {}
        return await super()._watch(query)

    _handlers = {**Store._handlers, "/rattanpick/kv-watch": _watch}


class ReviewTarget(Target):
    """A target that records when the openings that it takes were sent first, and when they arrived."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.taken = []

    def _open(self, key, segment):
        known = self._flows.get(key)
        super()._open(key, segment)
        if self._flows.get(key) is not known:
            self.taken.append((self.deployment.sent_first[(segment.source, segment.sequence)], self.history.clock()))

    def count_within(self, seconds):
        """The most openings that were both sent and taken within a span of the length, of those taken so far."""
        most = 0
        for begin, _ in self.taken:
            most = max(most, sum(sent >= begin and arrived <= begin + seconds for sent, arrived in self.taken))
        return most


class ReviewDeployment(Deployment):
    """A deployment with the settings of the deploy templates."""

    target_class = ReviewTarget

    async def start(self):
        # When the first copy of each opening was sent, by the caller's endpoint and sequence number.
        self.sent_first = {}
        soak_module.Store, soak_module.Target = ReviewStore, self.target_class
        await super().start()
        send = self.router.send
        self.router.send = lambda segment: (self.note_sent(segment), send(segment))

    def note_sent(self, segment):
        if segment.flags & SYN:
            self.sent_first.setdefault((segment.source, segment.sequence), self.history.clock())

    def write_settings(self, machine, is_initial_start=False):
        super().write_settings(machine, is_initial_start)
        extra = "[balancing]\ntwo-choices = false\nprobation = true\n" if machine.role == "balancer" else \
                "[balancing]\nobjective-order = true\nminimum-share-percent = 10\n"
        with open(self.folder / f"{machine.name}.ini", "a") as file:
            file.write(extra)


async def run_traffic(deployment, seconds):
    """Background traffic on the two main routes: long flows, and short ones."""
    end = asyncio.get_running_loop().time() + seconds
    main_routes = list(deployment.routes)[:2]
    tasks = [asyncio.create_task(soak.run_short_flows(deployment, end))]
    for number in range(soak.LONG_FLOWS):
        caller = deployment.callers[number % len(deployment.callers)]
        tasks.append(asyncio.create_task(caller.run_long_flow(main_routes[number % 2], soak.LONG_FLOW_PAUSE_SECONDS, end)))
    await asyncio.wait(tasks)


async def run_openings(deployment, per_second, seconds):
    """Short flows on the first route at random times."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    route = list(deployment.routes)[0]
    open_requests = set()
    while loop.time() < end:
        task = asyncio.create_task(deployment.random.choice(deployment.callers).run_short_flow("unsafe", route))
        open_requests.add(task)
        task.add_done_callback(open_requests.discard)
        await asyncio.sleep(deployment.random.expovariate(per_second))
    if open_requests:
        await asyncio.wait(open_requests, timeout=5)


class Case:
    """One run of a case: its deployment, its record and its verdict."""

    def __init__(self, folder, size):
        self.folder = pathlib.Path(folder)
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.size = size
        self.broken = []
        self._lines = []
        self._start = time.monotonic()

    def note(self, text):
        self._lines.append(f"{time.monotonic() - self._start:8.3f} {text}")

    def fail(self, text):
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    async def _run(self, play, temporary, slot, deployment_class, seed):
        # Connections that the end of the run cuts off are not worth a message.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        # A script that is stopped ends the processes that it started, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        history = History(asyncio.get_running_loop().time)
        daemons = {role: [str(ROOT / PROGRAM)] for role in ("balancer", "agent")}
        deployment = deployment_class(history, random.Random(seed), slot, temporary, daemons, self.size)
        try:
            await deployment.start()
            if any(rule == "start" for rule, _ in history.violations):
                return False
            self.note(f"all processes are ready; {self.size[0]} balancers, {self.size[1]} agents with a target each")
            await play(self, deployment)
        finally:
            await deployment.end()
            self._lines += [f"   soak: {line}" for line in history.timeline[:200]]
        # Rules that the case does not aim at are reported and do not decide.
        for rule, text in history.violations:
            self.note(f"also seen by the checks of proof/soak: {rule}: {text}")
        return True

    def main(self, play, deployment_class=ReviewDeployment, seed=1, record="record.txt"):
        os.chdir(ROOT)
        if not pathlib.Path(PROGRAM).exists():
            print("the products of the deploy file are missing; run its build first")
            return 2
        temporary = pathlib.Path(tempfile.mkdtemp(prefix="rattanpick-review-"))
        slot, reservation = soak.reserve_slot()
        try:
            has_run = asyncio.run(asyncio.wait_for(self._run(play, temporary, slot, deployment_class, seed), LIMIT_SECONDS))
        except (Exception, asyncio.CancelledError) as error:
            self.note("the case could not run: " + traceback.format_exc())
            print(f"the case could not run: {error!r}")
            has_run = False
        finally:
            reservation.close()
            if os.environ.get("KEEP_LOGS"):
                print(f"logs: {temporary}")
            else:
                shutil.rmtree(temporary, ignore_errors=True)
        result = "could not run" if not has_run else "broken" if self.broken else "held"
        self.note(f"trouble={int(self.is_troubled)} result: {result}")
        (self.folder / record).write_text("\n".join(self._lines) + "\n")
        print(f"trouble={int(self.is_troubled)} {result}; {len(self.broken)} observations", *self.broken[:3], sep="\n  ")
        return 2 if not has_run else 1 if self.broken else 0
