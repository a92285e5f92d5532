"""A machine is cut off; the target on it crashes behind the cut, starts again, and registers at its first heartbeat after."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from harness import Case, run_openings  # noqa: E402

from proof.soak.deployment import COLD_OPENINGS_PER_SECOND, COLD_SECONDS  # noqa: E402
from proof.soak.history import COLD_FACTOR, COLD_SLACK  # noqa: E402

CUT_SECONDS = 3.0
# After the begin of the cut: the crash, and the start of the next process of the target.
CRASH_SECONDS, START_SECONDS = 1.0, 2.8
# The first registration of the new process is lost in the cut; it writes again after a heartbeat.
HEARTBEAT_SECONDS = 1.2
ROUNDS, ROUND_SECONDS = 3, 10
OPENINGS_PER_SECOND = 200
LIMIT = COLD_OPENINGS_PER_SECOND * COLD_FACTOR + COLD_SLACK


def cut(deployment, machine, is_cut):
    pairs = {("*", machine.name), (machine.name, "*")}
    if is_cut:
        deployment.links.cuts |= pairs
        deployment.links.silenced.add(machine.name)
        deployment.store.modes[machine.name] = "silent"
    else:
        deployment.links.cuts -= pairs
        deployment.links.silenced.discard(machine.name)
        deployment.store.modes.pop(machine.name)


async def trouble(case, deployment, machine):
    loop = asyncio.get_running_loop()
    begin = loop.time()
    target = machine.target
    cut(deployment, machine, True)
    case.note(f"{machine.name} is cut off from all other machines and the store")
    await asyncio.sleep(CRASH_SECONDS)
    target.crash()
    case.note(f"{target.name} beside it crashes")
    await asyncio.sleep(begin + START_SECONDS - loop.time())
    deployment._incarnations += 1
    target.__init__(deployment, target.name, machine, machine.service, target.started_at + 60_000)
    target.cold_until = loop.time() + COLD_SECONDS
    await target.start()
    case.note(f"{target.name} starts again, cold for {COLD_SECONDS} s")
    await asyncio.sleep(begin + CUT_SECONDS - loop.time())
    cut(deployment, machine, False)
    case.note("the cut has healed")
    await asyncio.sleep(begin + START_SECONDS + HEARTBEAT_SECONDS - loop.time())
    deployment.store.put(f"servers/{target.name}", target.entry())
    case.note(f"{target.name} registers itself")
    await asyncio.sleep(max(0, target.cold_until - loop.time()))
    most = target.count_within(1.0)
    deployment.store.put(f"servers/{target.name}", target.entry())
    text = f"{target.name} took {most} openings that were sent and arrived within one second while it was cold; at most {LIMIT:.0f} are allowed"
    case.fail(text) if most > LIMIT else case.note(text)


async def play(case, deployment):
    loop = asyncio.get_running_loop()
    traffic = asyncio.create_task(run_openings(deployment, OPENINGS_PER_SECOND, 5.0 + ROUNDS * ROUND_SECONDS))
    await asyncio.sleep(5.0)
    machines = [machine for machine in deployment.agents() if machine.service == "counter"]
    for number in range(ROUNDS):
        end = loop.time() + ROUND_SECONDS
        if case.is_troubled:
            await trouble(case, deployment, machines[number * 2])
        await asyncio.sleep(end - loop.time())
    await traffic
    answered = sum(request.result == "answered" for request in deployment.history.requests)
    case.note(f"{answered} of {len(deployment.history.requests)} requests answered")


sys.exit(Case(pathlib.Path(__file__).resolve().parent, (3, 9)).main(play))
