"""A flow changes its balancer while another target, whose agent was restarted a few seconds before, leaves as planned."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import scenario  # noqa: E402

FLOWS = 6
RESTART_DELAY_SECONDS = 0.5
DRAIN_SECONDS = 3.5
# From the end of the leaving target to the SIGTERM of its agent.
SIGTERM_DELAY_SECONDS = 0.5
REQUEST_SECONDS = 4.0


async def send_request(run, flow):
    request = run.history.begin_request("safe")
    answer = await flow.send_request(request.number, "safe", run.loop.time() + REQUEST_SECONDS)
    run.log(f"request {request.number} on port {flow.source[1]}: {'no answer' if answer is None else 'answered'}, "
            f"run {run.history.run_counts[request.number]} times")
    return answer is not None


async def restart(run, machine):
    run.log(f"{machine.name} gets SIGTERM")
    await run.deployment.stop(machine)
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    run.deployment.restart(machine)
    run.log(f"{machine.name} is started again")


async def body(run):
    deployment = run.deployment
    caller = deployment.callers[0]
    route = list(deployment.routes)[0]
    flows = []
    for _ in range(FLOWS):
        flow, is_open = await caller.open_flow(route)
        run.require(is_open and await send_request(run, flow), "a flow did not open")
        flows.append(flow)
    service = deployment.routes[route]["service"]
    holders = {flow: run.holder(flow) for flow in flows}
    agents = [machine for machine in deployment.agents() if machine.service == service]
    leaving = min(agents, key=lambda machine: sum(holder is machine for holder in holders.values()))
    kept = [flow for flow in flows if holders[flow] is not leaving]
    run.log(f"{leaving.name} is to leave; {len(kept)} flows are held by other targets")
    if scenario.HAS_TROUBLE:
        await restart(run, leaving)
        await asyncio.sleep(1)
        run.log(f"the target of {leaving.name} drains")
        deployment.drain(leaving.target)
        await asyncio.sleep(DRAIN_SECONDS)
        # The flows change their balancer: each packet of them now needs a lookup.
        for balancer in deployment.balancers()[:-1]:
            await restart(run, balancer)
        await asyncio.sleep(1.5)
        run.log(f"the target of {leaving.name} ends")
        name = leaving.target.name
        leaving.target.crash()
        deployment.store.remove(f"servers/{name}")
        leaving.is_down = True
        asyncio.get_running_loop().call_later(SIGTERM_DELAY_SECONDS, deployment.signal, leaving, 15)
    await asyncio.gather(*(send_request(run, flow) for flow in kept))
    await asyncio.sleep(1.0)
    for flow in kept:
        if flow.is_ended and holders[flow].target.holds(flow.key):
            run.violate("FLOW", f"port {flow.source[1]} got a reset that its target next to {holders[flow].name} did not send; that target lives and holds the flow")


scenario.main(body, (2, 6), FOLDER / "record.txt")
