"""All machines lose power for a moment; each target starts again a little later than the agent beside it."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from harness import Case, run_openings  # noqa: E402

from proof.soak.deployment import COLD_OPENINGS_PER_SECOND, COLD_SECONDS  # noqa: E402
from proof.soak.history import COLD_FACTOR, COLD_SLACK  # noqa: E402

DARK_SECONDS = 0.8
# Within these times after the return of power the agents and balancers start, and each target after its agent.
PROCESSES_BACK_SECONDS = 0.4
TARGET_LATER_SECONDS = (0.05, 0.15)
OPENINGS_PER_SECOND = 200
LIMIT = COLD_OPENINGS_PER_SECOND * COLD_FACTOR + COLD_SLACK


async def start_target(case, deployment, machine):
    """Starts the target of the machine again under its id, and counts what it takes while it is cold."""
    loop = asyncio.get_running_loop()
    target = machine.target
    deployment._incarnations += 1
    target.__init__(deployment, target.name, machine, machine.service, target.started_at + 60_000)
    target.cold_until = loop.time() + COLD_SECONDS
    await target.start()
    deployment.store.put(f"servers/{target.name}", target.entry())
    await asyncio.sleep(COLD_SECONDS)
    most = target.count_within(1.0)
    deployment.store.put(f"servers/{target.name}", target.entry())
    text = f"{target.name} of {machine.service} took {most} openings that were sent and arrived within one second while it was cold; at most {LIMIT:.0f} are allowed"
    case.fail(text) if most > LIMIT else case.note(text)


async def bring_back(case, deployment, machine):
    await asyncio.sleep(deployment.random.random() * PROCESSES_BACK_SECONDS)
    deployment.restart(machine)
    case.note(f"{machine.name} starts")
    if machine.target is not None:
        await asyncio.sleep(deployment.random.uniform(*TARGET_LATER_SECONDS))
        case.note(f"{machine.target.name} beside {machine.name} starts and registers itself")
        await start_target(case, deployment, machine)


async def play(case, deployment):
    traffic = asyncio.create_task(run_openings(deployment, OPENINGS_PER_SECOND, 12.0))
    await asyncio.sleep(5.0)
    if case.is_troubled:
        for machine in deployment.machines:
            machine.is_down = True
            deployment.signal(machine, signal.SIGKILL)
            if machine.target is not None:
                machine.target.crash()
        for machine in deployment.machines:
            machine.process.wait()
        case.note("all machines lose power")
        await asyncio.sleep(DARK_SECONDS)
        case.note("power is back")
        await asyncio.gather(*(bring_back(case, deployment, machine) for machine in deployment.machines))
    await traffic
    answered = sum(request.result == "answered" for request in deployment.history.requests)
    case.note(f"{answered} of {len(deployment.history.requests)} requests answered")


sys.exit(Case(pathlib.Path(__file__).resolve().parent, (3, 9)).main(play))
