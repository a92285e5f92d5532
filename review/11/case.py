"""The store comes back from a copy some seconds old; later, while all is calm, the operator removes a route."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from harness import Case, run_traffic  # noqa: E402

STORM_CHANGES, STORM_GAP_SECONDS = 6, 0.33
AWAY_SECONDS = 0.5
COPY_AGE_SECONDS = 4.0
# Above contact-ms (4 s): the store is stable again, and all machines are in touch.
CALM_SECONDS = 8.0
# config-ms, and the largest stretch of it by an unstable store (max-skew-ms), which does not apply here any more.
BOUND_SECONDS = 3.0 + 12.0
REQUESTS = 100


async def play(case, deployment):
    loop = asyncio.get_running_loop()
    store = deployment.store
    traffic = asyncio.create_task(run_traffic(deployment, 44.0))
    key = deployment.add_route(0)
    case.note(f"the operator adds the route {key}, served by {deployment.routes[key]['services']}")
    await asyncio.sleep(6.0)
    answered = 0
    for _ in range(20):
        flow = await deployment.callers[0].request("download", key)
        if flow is not None:
            answered += 1
            flow.end()
    case.note(f"{answered} of 20 requests on the route answered before")
    for _ in range(STORM_CHANGES):
        deployment.publish()
        await asyncio.sleep(STORM_GAP_SECONDS)
    newest = store.items["op/config"]["value"]
    case.note(f"the operator has written {STORM_CHANGES} configurations; the store is at revision {store.revision}")
    if case.is_troubled:
        store.go_away()
        case.note("the store goes away")
        await asyncio.sleep(AWAY_SECONDS)
        store.restore(COPY_AGE_SECONDS)
        case.note(f"the store is back from a copy {COPY_AGE_SECONDS} s old, at revision {store.revision}, era {store.era}")
        store.rewrite("op/config", newest)
        case.note(f"the operator writes the newest configuration again, at revision {store.revision}")
        store.come_back()
    await asyncio.sleep(CALM_SECONDS)
    deployment.drop_route(key)
    acknowledged = loop.time()
    case.note(f"the store acknowledges the removal of the route at revision {store.revision}")
    await asyncio.sleep(BOUND_SECONDS + 0.5)
    for number in range(REQUESTS):
        request = len(deployment.history.requests) + 1
        begin = loop.time()
        flow = await deployment.callers[number % 4].request("download", key)
        if flow is not None:
            flow.end()
        if deployment.history.run_counts[request] > 0:
            case.fail(f"request {request}, sent {begin - acknowledged:.1f} s after the removal of its route was acknowledged, was run")
        await asyncio.sleep(0.02)
    case.note(f"{len(case.broken)} of {REQUESTS} requests on the removed route were run; the store is at revision {store.revision}")
    await traffic


sys.exit(Case(pathlib.Path(__file__).resolve().parent, (4, 12)).main(play))
