"""The same cause, seen as DRAIN: a target drains; another writer then leaves an entry with the target's address that lacks the field `born`."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from harness import Case, run_openings  # noqa: E402

from proof.soak.history import DRAIN_BOUND_SECONDS  # noqa: E402

OTHER_WRITER_SECONDS = 0.5
# How long the target serves after the store has accepted its drain.
LEAVE_SECONDS = 10
OPENINGS_PER_SECOND = 100


async def play(case, deployment):
    loop = asyncio.get_running_loop()
    traffic = asyncio.create_task(run_openings(deployment, OPENINGS_PER_SECOND, 5.0 + LEAVE_SECONDS))
    await asyncio.sleep(5.0)
    machine = next(machine for machine in deployment.agents() if machine.service == "counter")
    target = machine.target
    deployment.drain(target)
    acknowledged = loop.time()
    case.note(f"the store acknowledges that {target.name} is draining")
    await asyncio.sleep(OTHER_WRITER_SECONDS)
    if case.is_troubled:
        entry = target.entry()
        entry["state"] = "ready"
        del entry["born"]
        deployment.store.put("servers/other", entry)
        case.note(f"another writer leaves the entry servers/other: {entry}")
    await asyncio.sleep(acknowledged + LEAVE_SECONDS - 0.2 - loop.time())
    late = [sent - acknowledged for sent, _ in target.taken if sent > acknowledged + DRAIN_BOUND_SECONDS]
    for seconds in late:
        case.fail(f"{target.name} took an opening that was sent {seconds:.2f} s after the acknowledgement of its drain")
    case.note(f"{target.name} took {len(late)} openings sent later than {DRAIN_BOUND_SECONDS} s after the acknowledgement")
    await traffic


sys.exit(Case(pathlib.Path(__file__).resolve().parent, (3, 9)).main(play, record="record-drain.txt"))
