"""A flow that is idle for 12 s while a new configuration raises the idle timeout from 8 s to 30 s."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import scenario  # noqa: E402

FIRST_IDLE_TIMEOUT_MS, SECOND_IDLE_TIMEOUT_MS = 8_000, 30_000
CHANGE_AFTER_SECONDS, PAUSE_SECONDS = 2.0, 12.0
REQUEST_SECONDS = 4.0
SETTLING_SECONDS = 20.0


async def send_request(run, flow):
    request = run.history.begin_request("safe")
    run.log(f"request {request.number} sent on the flow")
    answer = await flow.send_request(request.number, "safe", run.loop.time() + REQUEST_SECONDS)
    run.log(f"request {request.number}: {'no answer' if answer is None else 'answered'}, run {run.history.run_counts[request.number]} times")
    return answer


async def body(run):
    deployment = run.deployment
    if not scenario.HAS_TROUBLE:
        # The same timeout from the start instead of a change of it.
        scenario.deployment_module.IDLE_TIMEOUT_MS = SECOND_IDLE_TIMEOUT_MS
        deployment.publish()
    # As long after the start as any deployment usually is.
    await asyncio.sleep(SETTLING_SECONDS)
    caller = deployment.callers[0]
    flow, is_open = await caller.open_flow(list(deployment.routes)[0])
    run.require(is_open, "the flow did not open")
    run.require(await send_request(run, flow) is not None, "the first request was not answered")
    idle_since = run.loop.time()
    machine = run.holder(flow)
    run.log(f"the flow is held by the target of {machine.name}")
    await asyncio.sleep(CHANGE_AFTER_SECONDS)
    if scenario.HAS_TROUBLE:
        scenario.deployment_module.IDLE_TIMEOUT_MS = SECOND_IDLE_TIMEOUT_MS
        deployment.publish()
        run.log(f"the store acknowledges a configuration with an idle timeout of {SECOND_IDLE_TIMEOUT_MS} ms")
    await asyncio.sleep(idle_since + PAUSE_SECONDS - run.loop.time())
    run.require(machine.target.holds(flow.key), "the target no longer holds the flow")
    run.log(f"the flow has been idle for {run.loop.time() - idle_since:.1f} s")
    answer = await send_request(run, flow)
    if flow.is_ended and machine.target.holds(flow.key):
        run.violate("FLOW", "the caller got a reset that the flow's target did not send; the target lives and holds the flow")
    elif answer is None:
        run.log("no answer, and no reset")


scenario.main(body, (2, 4), FOLDER / "record.txt", FIRST_IDLE_TIMEOUT_MS)
