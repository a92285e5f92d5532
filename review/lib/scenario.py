"""Runs one scenario on loopback with the programs of the deploy file, the stand-ins of proof/soak and no random faults."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from proof.soak import deployment as deployment_module  # noqa: E402
from proof.soak.deployment import Deployment  # noqa: E402
from proof.soak.history import History  # noqa: E402
from proof.soak.run import reserve_slot  # noqa: E402

DAEMON = ROOT / "target/apps/rattanpickd/rattanpickd"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Stop(Exception):
    """The case could not be set up."""


class Scenario:
    """A running deployment, and the record of what was sent, answered and run."""

    def __init__(self, deployment, history):
        self.deployment, self.history = deployment, history
        self.loop = asyncio.get_running_loop()
        self.violations = []

    def log(self, text):
        self.history.log_event(text)

    def violate(self, rule, text):
        self.violations.append(rule)
        self.log(f"VIOLATION {rule}: {text}")

    def require(self, condition, text):
        if not condition:
            raise Stop(text)

    def holder(self, flow):
        """The agent machine whose target holds the flow, or None."""
        return next((machine for machine in self.deployment.agents() if machine.target.holds(flow.key)), None)


async def _run(body, size, record, folder):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: None)
    # A time limit from outside also ends all processes that were started.
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    history = History(loop.time)
    slot, reservation = reserve_slot()
    deployment = Deployment(history, random.Random(1), slot, folder, {"balancer": [str(DAEMON)], "agent": [str(DAEMON)]}, size)
    scenario = Scenario(deployment, history)
    result = NOT_RUN
    try:
        await deployment.start()
        scenario.require(not history.violations, "the deployment did not start")
        await body(scenario)
        result = BROKEN if scenario.violations else HELD
    except Stop as reason:
        scenario.log(f"the case could not run: {reason}")
    except asyncio.CancelledError:
        scenario.log("the case could not run: it was ended from outside")
    except Exception:
        scenario.log("the case could not run: " + traceback.format_exc())
    finally:
        await deployment.end()
        reservation.close()
        lines = [f"disruption: {'yes' if HAS_TROUBLE else 'no'}", f"result: {('held', 'broken', 'could not run')[result]}", *history.timeline]
        pathlib.Path(record).write_text("\n".join(lines) + "\n")
    return result


def main(body, size, record, idle_timeout_ms=None):
    """Runs the body with a deployment of (balancers, targets) and exits with its result."""
    if not DAEMON.exists():
        print("the build of the deploy file is missing")
        sys.exit(NOT_RUN)
    if idle_timeout_ms is not None:
        deployment_module.IDLE_TIMEOUT_MS = idle_timeout_ms
    folder = pathlib.Path(tempfile.mkdtemp(prefix="rattanpick-review-"))
    try:
        result = asyncio.run(_run(body, size, record, folder))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(("held", "broken", "could not run")[result])
    sys.exit(result)
