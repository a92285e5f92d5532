"""One entry of another writer has the address of a live server; then the balancers are restarted in turn, as planned."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import scenario  # noqa: E402
from proof.soak.targets import APP_PORT  # noqa: E402

IDLE_TIMEOUT_MS = 15_000
FLOWS = 32
SETTLING_SECONDS = 17.0
RESTART_DELAY_SECONDS, RESTART_GAP_SECONDS = 0.5, 1.5
REQUEST_SECONDS = 4.0


async def send_request(run, flow):
    request = run.history.begin_request("safe")
    answer = await flow.send_request(request.number, "safe", run.loop.time() + REQUEST_SECONDS)
    run.log(f"request {request.number} on port {flow.source[1]}: {'no answer' if answer is None else 'answered'}, "
            f"run {run.history.run_counts[request.number]} times")
    return answer is not None


async def body(run):
    deployment = run.deployment
    caller = deployment.callers[0]
    route = list(deployment.routes)[0]
    await asyncio.sleep(SETTLING_SECONDS)
    flows = []
    for _ in range(FLOWS):
        flow, is_open = await caller.open_flow(route)
        run.require(is_open and await send_request(run, flow), "a flow did not open")
        flows.append(flow)
    holders = {flow: run.holder(flow) for flow in flows}
    named = max(deployment.agents(), key=lambda machine: sum(holder is machine for holder in holders.values()))
    run.log(f"{sum(holder is named for holder in holders.values())} flows are held by the target next to {named.name}")
    if scenario.HAS_TROUBLE:
        deployment.store.put("servers/exporter-0", {
            "service": "exporter", "address": f"{named.public}:{APP_PORT}", "zone": named.zone, "version": "1", "slots": 1, "state": "ready",
            "warmup-left-ms": 0, "seq": 1, "born": 1_700_000_000_001})
        run.log(f"another writer has put an entry of the service \"exporter\" with the address of the target next to {named.name}")
    await asyncio.sleep(2)
    # Also without the entry: the planned work alone breaks no flow.
    for balancer in deployment.balancers():
        run.log(f"{balancer.name} gets SIGTERM")
        await deployment.stop(balancer)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        deployment.restart(balancer)
        run.log(f"{balancer.name} is started again")
        await asyncio.sleep(RESTART_GAP_SECONDS)
    await asyncio.gather(*(send_request(run, flow) for flow in flows))
    await asyncio.sleep(1)
    for flow in flows:
        if flow.is_ended and holders[flow].target.holds(flow.key):
            run.violate("FLOW", f"port {flow.source[1]} got a reset that its target next to {holders[flow].name} did not send; that target lives and holds the flow")


scenario.main(body, (2, 6), FOLDER / "record.txt", IDLE_TIMEOUT_MS)
