"""A flow that is idle for 20 s, with an idle timeout of 30 s, across a planned restart of its agent."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import scenario  # noqa: E402

IDLE_TIMEOUT_MS = 30_000
PAUSE_SECONDS = 20.0
RESTART_DELAY_SECONDS = 0.5
REQUEST_SECONDS = 4.0


async def send_request(run, flow, kind):
    request = run.history.begin_request(kind)
    run.log(f"request {request.number} sent on the flow")
    answer = await flow.send_request(request.number, kind, run.loop.time() + REQUEST_SECONDS)
    run.log(f"request {request.number}: {'no answer' if answer is None else 'answered'}, run {run.history.run_counts[request.number]} times")
    return answer


async def body(run):
    deployment = run.deployment
    caller = deployment.callers[0]
    route = list(deployment.routes)[0]
    flow, is_open = await caller.open_flow(route)
    run.require(is_open, "the flow did not open")
    run.require(await send_request(run, flow, "safe") is not None, "the first request was not answered")
    idle_since = run.loop.time()
    machine = run.holder(flow)
    run.log(f"the flow is held by the target of {machine.name}")
    if scenario.HAS_TROUBLE:
        run.log(f"{machine.name} gets SIGTERM")
        await deployment.stop(machine)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        deployment.restart(machine)
        run.log(f"{machine.name} is started again")
    await asyncio.sleep(idle_since + PAUSE_SECONDS - run.loop.time())
    run.require(machine.target.holds(flow.key), "the target no longer holds the flow")
    run.log(f"the flow has been idle for {run.loop.time() - idle_since:.1f} s")
    answer = await send_request(run, flow, "safe")
    if flow.is_ended and machine.target.holds(flow.key):
        run.violate("FLOW", "the caller got a reset that the flow's target did not send; the target lives and holds the flow")
    elif answer is None:
        run.log("no answer, and no reset")


scenario.main(body, (2, 4), FOLDER / "record.txt", IDLE_TIMEOUT_MS)
