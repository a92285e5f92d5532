"""Common parts of the scripts: real daemons on loopback, with the stand-ins of proof/soak.

The stand-ins of proof/soak play callers, router, targets and store by the platform's pages. What is added here: a store that
can turn single machines away, the record of a run, and the exit status.
"""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))
sys.dont_write_bytecode = True

from proof.soak import deployment as deployment_module  # noqa: E402
from proof.soak import store as store_module  # noqa: E402
from proof.soak.deployment import Deployment  # noqa: E402
from proof.soak.history import History  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
DAEMON = ROOT / "target/apps/rattanpickd/rattanpickd"
# A script runs for 120 seconds at most.
RUN_LIMIT_SECONDS = 110


class TurningStore(store_module.Store):
    """A store that can turn single machines away, and tells which machines watch it."""

    def __init__(self, history, random_source):
        super().__init__(history, random_source)
        self._writers = {}
        # Latest time at which each machine has begun a watch.
        self.watchers = {}

    async def _serve(self, process, reader, writer):
        self._writers.setdefault(process, set()).add(writer)
        try:
            await super()._serve(process, reader, writer)
        finally:
            self._writers[process].discard(writer)

    async def _answer(self, process, path, writer):
        if "kv-watch" in path and self._mode(process) == "ok":
            self.watchers[process] = self._history.clock()
        return await super()._answer(process, path, writer)

    def turn_away(self, process, mode):
        """Ends the connections of the machine and refuses its calls from now on."""
        self.modes[process] = mode
        for writer in list(self._writers.get(process, ())):
            writer.transport.abort()

    def serve_again(self, process):
        self.modes[process] = "ok"
        # Calls that were left without an answer get none.
        for writer in list(self._writers.get(process, ())):
            writer.transport.abort()


# The sections that the templates of the deploy file have besides those that proof/soak writes.
BALANCING = {"balancer": "[balancing]\ntwo-choices = false\nprobation = true\n",
             "agent": "[balancing]\nobjective-order = true\nminimum-share-percent = 10\n"}


class TemplateDeployment(Deployment):
    """A deployment whose settings follow the templates of the deploy file."""

    def write_settings(self, machine, is_initial_start=False):
        super().write_settings(machine, is_initial_start)
        with open(self.folder / f"{machine.name}.ini", "a") as settings:
            settings.write(BALANCING[machine.role])


class Scene:
    """One run of a case: a deployment, its record and its outcome."""

    def __init__(self, case_folder, balancers, agents):
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(case_folder)
        self.seed = int(os.environ.get("SEED", "0")) or random.SystemRandom().randrange(1, 1 << 30)
        self.random = random.Random(self.seed)
        self.history = History(time.monotonic)
        self._size = (balancers, agents)
        self.lines = []
        self.deployment = None

    def note(self, text):
        self.history.log_event(text)

    @property
    def store(self):
        return self.deployment.store

    async def __aenter__(self):
        deployment_module.Store = TurningStore
        self._work = pathlib.Path(tempfile.mkdtemp(prefix="rattanpick-review-"))
        self._reservation, slot = _reserve_slot(self.random)
        daemons = {"balancer": [str(DAEMON)], "agent": [str(DAEMON)]}
        self.deployment = TemplateDeployment(self.history, self.random, slot, self._work, daemons, self._size)
        try:
            self.prepare(self.deployment)
            await self.deployment.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    def prepare(self, deployment):
        """Called before the deployment starts."""

    async def __aexit__(self, *_):
        await self.deployment.end()
        self._reservation.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._work, keep, dirs_exist_ok=True)
        shutil.rmtree(self._work, ignore_errors=True)

    def has_stalled(self):
        """Whether this machine was too busy for the run to say anything."""
        return any("stalled" in line for line in self.history.timeline)

    def write_record(self, outcome):
        header = [f"seed {self.seed}, trouble {'on' if self.is_troubled else 'off'}, outcome {outcome}", ""]
        (self.folder / "record.txt").write_text("\n".join(header + self.history.timeline) + "\n")


def _reserve_slot(source):
    """Takes a range of loopback addresses that no other run uses."""
    for _ in range(50):
        slot = source.randrange(1, 250)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.44.{slot}.1", 40009))
            return reservation, slot
        except OSError:
            reservation.close()
    raise RuntimeError("no free range of loopback addresses")


def run(scene, play):
    """Plays a case and returns the exit status; play(scene) returns HELD, BROKEN or NOT_RUN."""

    async def whole():
        loop = asyncio.get_running_loop()
        # Connections of the stand-ins that are cancelled at the end are no errors.
        loop.set_exception_handler(lambda _, context: None if isinstance(context.get("exception"), (asyncio.CancelledError, type(None)))
                                   else loop.default_exception_handler(context))
        # A script that is stopped ends its processes first.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        outcome = NOT_RUN
        try:
            async with scene:
                if any(rule == "start" for rule, _ in scene.history.violations):
                    scene.note("the deployment did not start")
                else:
                    outcome = await asyncio.wait_for(play(scene), RUN_LIMIT_SECONDS)
        except (Exception, asyncio.CancelledError) as error:  # The case could not be played.
            scene.note(f"the case could not run: {error!r}")
            outcome = NOT_RUN
        scene.write_record({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[outcome])
        return outcome

    if not DAEMON.exists():
        print(f"{DAEMON} is missing: run the build of the deploy file first", file=sys.stderr)
        return NOT_RUN
    return asyncio.run(whole())
