"""Another writer leaves entries with the addresses of targets that lack the field `born`; then the balancers are restarted as planned."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from harness import Case, run_traffic  # noqa: E402

SERVICE, OTHER_SERVICE = "counter", "records"
# Time between the end of one balancer's restart and the next stop.
GAP_SECONDS = 2.5


def answered(case, deployment, first, text):
    requests = [request for request in deployment.history.requests[first:] if request.end and request.kind == "unsafe"]
    count = sum(request.result == "answered" for request in requests)
    case.note(f"{text}: {count} of {len(requests)} requests on new flows to {SERVICE} answered")


async def play(case, deployment):
    traffic = asyncio.create_task(run_traffic(deployment, 26.0))
    await asyncio.sleep(5.0)
    answered(case, deployment, 0, "before")
    if case.is_troubled:
        machines = [machine for machine in deployment.agents() if machine.service == SERVICE]
        for number, machine in enumerate(machines):
            entry = machine.target.entry()
            entry["service"] = OTHER_SERVICE
            del entry["born"]
            deployment.store.put(f"servers/other-{number}", entry)
        case.note(f"another writer leaves {len(machines)} entries such as {entry}")
    await asyncio.sleep(5.0)
    first = len(deployment.history.requests)
    for balancer in deployment.balancers():
        await deployment.stop(balancer)
        case.note(f"{balancer.name} has stopped as planned")
        await asyncio.sleep(0.3)
        deployment.restart(balancer)
        await asyncio.sleep(GAP_SECONDS)
    await traffic
    answered(case, deployment, first, "from the first restart on")
    for rule, text in deployment.history.violations:
        if rule == "flow":
            case.fail(text)
    case.note(f"{len(case.broken)} open flows were reset although their targets hold them")


sys.exit(Case(pathlib.Path(__file__).resolve().parent, (3, 9)).main(play))
