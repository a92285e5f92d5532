"""Flows with long idle times under planned work of several kinds at once; no open flow may be reset or misrouted.

Usage: run.py SEED [WORK,...]; WORK is agents, balancers, release, services, idle, evacuate or reload. A kind may be named twice.
"""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import Case  # noqa: E402

from proof.soak import deployment as soak_module  # noqa: E402
from proof.soak.deployment import SERVICES, ZONES  # noqa: E402

SECONDS = 55.0
# The work begins after the first flows, and ends before the last requests.
WORK_BEGIN, WORK_END = 2.0, 47.0
FLOWS = 160
# Below the idle timeout of the configuration, 8 s at least.
LONGEST_IDLE_SECONDS, SHORTEST_IDLE_SECONDS = 7.4, (0.5, 2.0, 4.0, 6.0)
IDLE_TIMEOUTS_MS = (8000, 9000, 12000, 15000)


class Work:
    """The kinds of planned work; each goes on until the end."""

    def __init__(self, deployment, draw, end):
        self._deployment, self._draw, self._end = deployment, draw, end

    def _is_over(self):
        return asyncio.get_running_loop().time() >= self._end

    async def _pause(self, shortest, longest):
        await asyncio.sleep(self._draw.uniform(shortest, longest))

    async def _roll(self, machines, longest_gap):
        while not self._is_over():
            for machine in self._draw.sample(machines, len(machines)):
                if machine.is_down or self._is_over():
                    continue
                await self._deployment.stop(machine)
                await self._pause(0.2, 0.8)
                self._deployment.restart(machine)
                await self._pause(0.0, longest_gap)

    async def agents(self):
        await self._roll(self._deployment.agents(), 1.0)

    async def balancers(self):
        await self._roll(self._deployment.balancers(), 2.5)

    async def release(self):
        while not self._is_over():
            machine = self._draw.choice(self._deployment.agents())
            others = [other for other in self._deployment.agents()
                      if other is not machine and other.service == machine.service and other.target.is_alive and other.target.state == "ready"]
            if len(others) >= 2:
                await self._deployment.replace_target(machine, self._draw.uniform(3.2, 9))
            await self._pause(0.1, 3)

    async def services(self):
        routes = list(self._deployment.routes)[:2]
        while not self._is_over():
            self._deployment.change_services(self._draw.choice(routes), self._draw.choice([[SERVICES[0]], [SERVICES[1]], list(SERVICES)]))
            await self._pause(0.3, 8)

    async def idle(self):
        while not self._is_over():
            soak_module.IDLE_TIMEOUT_MS = self._draw.choice(IDLE_TIMEOUTS_MS)
            self._deployment.publish()
            await self._pause(0.3, 8)

    async def evacuate(self):
        while not self._is_over():
            zone = self._draw.choice(ZONES)
            self._deployment.set_out(zone, True)
            await self._pause(3, 7)
            self._deployment.set_out(zone, False)
            await self._pause(0.2, 5)

    async def reload(self):
        while not self._is_over():
            self._deployment.signal(self._draw.choice(self._deployment.machines), signal.SIGHUP)
            await asyncio.sleep(0.2)


async def run_flow(caller, route, draw, end):
    loop = asyncio.get_running_loop()
    shortest = draw.choice(SHORTEST_IDLE_SECONDS)
    flow = None
    while loop.time() < end:
        flow = await caller.request("safe", route, flow)
        await asyncio.sleep(draw.uniform(shortest, LONGEST_IDLE_SECONDS))


def main(seed, kinds):
    draw = random.Random(seed)

    async def play(case, deployment):
        begin = asyncio.get_running_loop().time()
        routes = list(deployment.routes)[:2]
        flows = [asyncio.create_task(run_flow(deployment.callers[number % len(deployment.callers)], routes[number % 2], draw, begin + SECONDS))
                 for number in range(FLOWS)]
        await asyncio.sleep(WORK_BEGIN)
        work = Work(deployment, draw, begin + WORK_END)
        await asyncio.gather(*(getattr(work, kind)() for kind in kinds))
        await asyncio.wait(flows)
        for rule, text in deployment.history.violations:
            # A request that fails breaks no rule by itself.
            if rule != "planned":
                case.fail(f"{rule}: {text}")

    return Case(pathlib.Path(__file__).resolve().parent, (3, 9)).main(play, seed=seed)


sys.exit(main(int(sys.argv[1]), (sys.argv[2] if len(sys.argv) > 2 else "agents,agents,balancers,release,services,idle,evacuate,reload").split(",")))
