"""A target starts while the time of day of its machine is ahead; once it is right again, the agent beside it is killed."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import Case, run_traffic  # noqa: E402

CLOCK_AHEAD_SECONDS = 2.4
KILL_SECONDS, RESTART_SECONDS = 1.9, 2.4
# Below the idle timeout of the configuration (8 s), and more than contact-ms (4 s) behind the restart.
IDLE_SECONDS = 7.0
FLOWS = 120


async def play(case, deployment):
    loop = asyncio.get_running_loop()
    traffic = asyncio.create_task(run_traffic(deployment, 22.0))
    route = list(deployment.routes)[0]
    machine = next(machine for machine in deployment.agents() if machine.service == "counter")
    await asyncio.sleep(3.0)
    # Planned work: the target is replaced, and its machine with it. The agent starts first.
    old = machine.target
    deployment.drain(old)
    await asyncio.sleep(3.5)
    deployment.store.remove(f"servers/{old.name}")
    old.crash()
    await deployment.stop(machine)
    await asyncio.sleep(2.0)
    deployment.restart(machine)
    await asyncio.sleep(1.0)
    begin = loop.time()
    skew = CLOCK_AHEAD_SECONDS if case.is_troubled else 0
    target = await deployment.start_target(machine)
    target.started_at = int((time.time() + skew) * 1000)
    deployment.store.put(f"servers/{target.name}", target.entry())
    case.note(f"{target.name} beside {machine.name} has started; the time of day there is {skew} s ahead")
    await asyncio.sleep(0.3)

    async def open_one(number):
        await asyncio.sleep(number * 1.3 / FLOWS)
        return await deployment.callers[number % 4].request("safe", route)

    flows = [flow for flow in await asyncio.gather(*(open_one(number) for number in range(FLOWS))) if flow is not None]
    held = [flow for flow in flows if target.holds(flow.key)]
    case.note(f"{len(flows)} flows are open, {len(held)} of them at {target.name}")
    await asyncio.sleep(begin + KILL_SECONDS - loop.time())
    machine.is_down = True
    deployment.signal(machine, signal.SIGKILL)
    machine.process.wait()
    await asyncio.sleep(begin + RESTART_SECONDS - loop.time())
    deployment.restart(machine)
    case.note(f"{machine.name} was killed and starts again; the time of day is right")
    await asyncio.sleep(begin + RESTART_SECONDS + IDLE_SECONDS - 1.0 - loop.time())
    before = len(deployment.history.violations)
    await asyncio.gather(*(deployment.callers[0].request("safe", route, flow) for flow in held))
    for rule, text in deployment.history.violations[before:]:
        if rule == "flow":
            case.fail(text)
    case.note(f"{len(case.broken)} of {len(held)} open flows were reset although {target.name} holds them")
    await traffic


sys.exit(Case(pathlib.Path(__file__).resolve().parent, (3, 9)).main(play))
