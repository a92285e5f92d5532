"""The agent next to a cold target is killed and starts again while callers open many flows."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import scenario  # noqa: E402
from proof.soak.targets import Target  # noqa: E402

OPENINGS_PER_SECOND = 60
SETTLING_SECONDS = 3.0
# The process is killed once the cold target has taken so many openings, and is down for this time.
KILL_AFTER_OPENINGS, DOWN_SECONDS = 10, 0.1
WINDOW_SECONDS = 1.0


async def run_openings(run, route, sent, end):
    """Opens flows at a steady rate and sends one request on each."""
    deployment, tasks = run.deployment, set()

    async def run_flow(caller):
        task = asyncio.create_task(caller.run_short_flow("download", route))
        await task

    while run.loop.time() < end:
        caller = deployment.callers[len(sent) % len(deployment.callers)]
        task = asyncio.create_task(run_flow(caller))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / OPENINGS_PER_SECOND)
    if tasks:
        await asyncio.wait(tasks, timeout=5)


def record_openings(run, sent, arrivals):
    """Records when each caller first sent its opening, and when a target took it."""
    send, take = run.deployment.router.send, Target._open

    def recording_send(segment):
        if segment.flags == 64:
            sent.setdefault((segment.source, segment.destination), run.loop.time())
        send(segment)

    def recording_take(target, key, segment):
        if key not in target._flows:
            arrivals[target.name].append((run.loop.time(), key))
        take(target, key, segment)

    run.deployment.router.send = recording_send
    Target._open = recording_take


def most_in_window(arrivals, sent, cold_until):
    """The most openings that were sent and arrived inside one second while the target was cold."""
    most = 0
    for end, _ in arrivals:
        if end < cold_until:
            begin = end - WINDOW_SECONDS
            most = max(most, sum(begin < arrival <= end and sent[key] > begin for arrival, key in arrivals))
    return most


async def body(run):
    deployment = run.deployment
    sent, arrivals = {}, collections.defaultdict(list)
    record_openings(run, sent, arrivals)
    route = list(deployment.routes)[1]
    service = deployment.routes[route]["service"]
    machine = [machine for machine in deployment.agents() if machine.service == service][-1]
    traffic = asyncio.create_task(run_openings(run, route, sent, run.loop.time() + 14))
    await asyncio.sleep(SETTLING_SECONDS)
    run.log(f"the target of {machine.name} drains and is replaced")
    await deployment.replace_target(machine, 3.5)
    target = machine.target
    run.log(f"{target.name} next to {machine.name} has started, cold until {target.cold_until - run.history._start_time:.3f}")
    limit = run.loop.time() + 1.5
    while len(arrivals[target.name]) < KILL_AFTER_OPENINGS and run.loop.time() < limit:
        await asyncio.sleep(0.01)
    run.require(len(arrivals[target.name]) >= KILL_AFTER_OPENINGS, "the cold target got too few openings")
    if scenario.HAS_TROUBLE:
        run.log(f"{machine.name} is killed")
        await deployment.kill(machine, DOWN_SECONDS)
        run.log(f"{machine.name} is started again")
    await traffic
    allowed = scenario.deployment_module.COLD_OPENINGS_PER_SECOND * scenario.deployment_module.COLD_FACTOR + scenario.deployment_module.COLD_SLACK
    for arrival, key in arrivals[target.name][:60]:
        run.log(f"at {arrival - run.history._start_time:.3f} {target.name} takes the flow from port {key[0][1]}, sent at {sent[key] - run.history._start_time:.3f}")
    most = most_in_window(arrivals[target.name], sent, target.cold_until)
    run.log(f"at most {most} openings were sent and arrived inside one second while {target.name} was cold; allowed are {allowed:.0f}")
    if most > allowed:
        run.violate("FAILBACK", f"{most} openings in one second")


scenario.main(body, (2, 5), FOLDER / "record.txt")
