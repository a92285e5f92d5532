"""A reader that was turned away by the store misses one version of a route, and answers for the route's past all the same."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import scene as scene_module  # noqa: E402
from scene import BROKEN, HELD, NOT_RUN  # noqa: E402

BALANCERS, AGENTS = 3, 9
FLOWS = 120
# Time between the two versions of the configuration.
VERSION_GAP_SECONDS = 3.0
TURNED_AWAY_SECONDS = 9.0
# Above contact-ms (4 s).
SETTLED_SECONDS = 6.0
REQUEST_PAUSE_SECONDS = 1.0
# Pause between the planned restarts of two balancers.
ROLL_PAUSE_SECONDS = 3.0


async def keep_flow(caller, route, flow, end):
    """Sends a request about every second on one open flow, until it ends."""
    loop = asyncio.get_running_loop()
    while loop.time() < end and not flow.is_ended:
        request = caller.history.begin_request("safe")
        answer = await flow.send_request(request.number, "safe", loop.time() + 4)
        caller.history.finish_request(request, "answered" if answer else "failed", "" if answer else "no answer")
        await asyncio.sleep(REQUEST_PAUSE_SECONDS * (0.5 + caller.deployment.random.random()))


async def play(scene):
    deployment, store, history = scene.deployment, scene.store, scene.history
    loop = asyncio.get_running_loop()
    route = list(deployment.routes)[0]
    first, second = deployment.routes[route]["services"][0], "records"
    await asyncio.sleep(3)
    readers = [machine for machine in deployment.agents() if machine.name in store.watchers]
    scene.note(f"machines that watch the store: {[(m.name, m.zone, m.service) for m in readers]}")
    victims = [machine for machine in readers if machine.service == first] or readers
    if not victims:
        scene.note("no machine watches the store")
        return NOT_RUN
    victim = victims[0]
    if scene.is_troubled:
        scene.note(f"the store turns {victim.name} away")
        store.turn_away(victim.name, "busy")
        history.mark_disturbed(victim.name, loop.time() + TURNED_AWAY_SECONDS)
    turned_away_at = loop.time()
    await asyncio.sleep(1.5)
    end = loop.time() + 60
    flows, tasks = [], []

    async def open_one(index):
        caller = deployment.callers[index % len(deployment.callers)]
        flow, is_open = await caller.open_flow(route)
        if is_open:
            flows.append(flow)
            tasks.append(asyncio.create_task(keep_flow(caller, route, flow, end)))

    scene.note(f"the operator sends the route to {second}")
    deployment.change_services(route, [second])
    openings = []
    begin = loop.time()
    while loop.time() < begin + VERSION_GAP_SECONDS:
        openings.append(asyncio.create_task(open_one(len(openings))))
        await asyncio.sleep(VERSION_GAP_SECONDS / FLOWS)
    scene.note(f"the operator sends the route back to {first}")
    deployment.change_services(route, [first])
    await asyncio.wait(openings)
    holders = {}
    for flow in flows:
        machine, _ = deployment.find_holder(flow.key, flow.sequence, flow.expected)
        holders[flow] = machine
    moved = [flow for flow in flows if holders[flow] is not None and holders[flow].service == second]
    scene.note(f"{len(flows)} flows are open, {len(moved)} of them at targets of {second}")
    await asyncio.sleep(max(0, turned_away_at + TURNED_AWAY_SECONDS - loop.time()))
    if scene.is_troubled:
        scene.note(f"the store serves {victim.name} again")
        store.serve_again(victim.name)
    await asyncio.sleep(SETTLED_SECONDS)
    # roll_term: the balancers are stopped and started in turn.
    for balancer in deployment.balancers():
        scene.note(f"planned stop of {balancer.name}")
        await deployment.stop(balancer)
        scene.note(f"{balancer.name} has stopped and starts again")
        await asyncio.sleep(0.5)
        deployment.restart(balancer)
        await asyncio.sleep(ROLL_PAUSE_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    resets = [text for rule, text in history.violations if rule == "flow"]
    scene.note(f"{len(resets)} open flows were reset by the load balancer")
    if scene.has_stalled() or len(moved) < FLOWS // 10:
        return NOT_RUN
    return BROKEN if resets else HELD


if __name__ == "__main__":
    sys.exit(scene_module.run(scene_module.Scene(HERE, BALANCERS, AGENTS), play))
