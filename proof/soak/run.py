"""Runs a randomized scenario for each seed, several in parallel as separate processes, and reports the violations."""

import argparse
import asyncio
import concurrent.futures
import pathlib
import random
import shutil
import socket
import sys
import time

from .callers import REQUEST_TIMEOUT_SECONDS
from .deployment import Deployment
from .faults import Faults, make_flow_plan, make_plan, make_service_plan
from .history import RECOVERY_BOUND_SECONDS, History

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LONG_FLOWS, LONG_FLOW_PAUSE_SECONDS, SHORT_FLOW_INTERVAL_SECONDS = 32, 0.4, 0.06
# Faults may last this long after the last one begins; the rest of a run is free of faults.
LONGEST_FAULT_SECONDS = 12.0
# Share of short flows that choose among all routes, those added and removed during the run included.
EXTRA_ROUTE_SHARE = 0.05


def reserve_slot():
    """Returns the number of loopback networks that no other run uses, and the socket that reserves it."""
    for slot in range(1, 255):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.44.{slot}.1", 7))
            return slot, reservation
        except OSError:
            reservation.close()
    raise RuntimeError("no loopback network is free")


async def run_short_flows(deployment, end):
    loop = asyncio.get_running_loop()
    main_routes = list(deployment.routes)
    open_requests = set()
    while loop.time() < end:
        caller = deployment.random.choice(deployment.callers)
        if deployment.random.random() < EXTRA_ROUTE_SHARE:
            route = deployment.random.choice(list(deployment.routes))
            if deployment.routes[route]["dropped"] is not None:
                task = asyncio.create_task(open_and_close(caller, route))
            elif loop.time() - deployment.routes[route]["added"] > 3.0 or route in main_routes:
                task = asyncio.create_task(caller.run_short_flow("download", route))
            else:
                continue
        else:
            kind = "unsafe" if deployment.random.random() < 0.7 else "download"
            task = asyncio.create_task(caller.run_short_flow(kind, main_routes[0 if kind == "unsafe" else 1]))
        open_requests.add(task)
        task.add_done_callback(open_requests.discard)
        await asyncio.sleep(SHORT_FLOW_INTERVAL_SECONDS * (0.5 + deployment.random.random()))
    if open_requests:
        await asyncio.wait(open_requests, timeout=REQUEST_TIMEOUT_SECONDS + 1)


async def open_and_close(caller, route):
    flow, _ = await caller.open_flow(route)
    flow.end()


async def run_scenario(seed, seconds, size, daemons, folder, changes_services):
    """Runs the scenario of one seed; returns its history and steps."""
    generator = random.Random(seed)
    loop = asyncio.get_running_loop()
    # Cancelled tasks of connections that are still open at the end are not errors.
    loop.set_exception_handler(lambda _, context: None if isinstance(context.get("exception"), (asyncio.CancelledError, type(None)))
                               else loop.default_exception_handler(context))
    history = History(loop.time)
    slot, reservation = reserve_slot()
    steps, is_planned_only = make_plan(generator, seconds)
    # Drawn apart, so that the first plan of a seed stays as it was when the seed was recorded.
    flow_generator = random.Random(f"flows of {seed}")
    steps += make_flow_plan(flow_generator, seconds, is_planned_only)
    if changes_services:
        steps += make_service_plan(random.Random(f"services of {seed}"), seconds)
    steps.sort(key=lambda step: step.at)
    history.is_planned_only = is_planned_only
    deployment = Deployment(history, generator, slot, folder, daemons, size)
    try:
        await deployment.start()
        start = loop.time()
        faults = Faults(deployment)

        async def execute_at_time(step):
            await asyncio.sleep(max(0, start + step.at - loop.time()))
            await faults.execute(step)

        fault_tasks = [asyncio.create_task(execute_at_time(step)) for step in steps]
        fault_end = asyncio.create_task(asyncio.wait(fault_tasks, timeout=seconds + LONGEST_FAULT_SECONDS))
        traffic_end = start + seconds + LONGEST_FAULT_SECONDS + RECOVERY_BOUND_SECONDS + 2
        long_flows = [asyncio.create_task(deployment.callers[index % len(deployment.callers)].run_long_flow(
            list(deployment.routes)[0], LONG_FLOW_PAUSE_SECONDS, traffic_end)) for index in range(LONG_FLOWS)]
        short_flows = asyncio.create_task(run_short_flows(deployment, traffic_end))
        await fault_end
        for task in fault_tasks:
            if task.done() and task.exception():
                raise task.exception()
        history.faults_end = loop.time()
        history.log_event("all faults have ended")
        # Faults usually end before the longest allowed time, so the recovery phase starts at their actual end.
        recovery_end = loop.time() + RECOVERY_BOUND_SECONDS + 2
        await asyncio.sleep(max(0, recovery_end - loop.time()))
        for task in (*long_flows, short_flows):
            task.cancel()
        await asyncio.gather(*long_flows, short_flows, return_exceptions=True)
        history.check_completed_run()
    finally:
        await deployment.end()
        reservation.close()
    return history, steps


def run_seed(seed, options):
    folder = pathlib.Path(options.output) / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    daemons = {"balancer": [options.daemon], "agent": [options.agent or options.daemon]}
    begin = time.monotonic()
    history, steps = asyncio.run(run_scenario(seed, options.seconds, (options.balancers, options.targets), daemons, folder,
                                              not options.regressions or options.services))
    served = sum(request.result == "answered" for request in history.requests)
    ended = sum(request.end is not None for request in history.requests)
    plan = "\n".join(str(step) for step in steps)
    (folder / "timeline.txt").write_text(f"plan of seed {seed}, planned only: {history.is_planned_only}\n{plan}\n\n" + "\n".join(history.timeline) + "\n")
    if not history.violations and not options.keep:
        shutil.rmtree(folder, ignore_errors=True)
    kinds = ",".join(sorted({step.kind for step in steps}))
    return seed, history.violations, f"seed {seed}: {served} of {ended} requests served, {len(history.violations)} violations, " \
                                     f"{time.monotonic() - begin:.0f} s, faults: {kinds}"


def parse(arguments):
    parser = argparse.ArgumentParser(prog="tools/soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=None, help="the first seed; random by default")
    parser.add_argument("--seed", type=int, action="append", default=[], help="a single seed to run instead of a range; may be repeated")
    parser.add_argument("--regressions", action="store_true", help="run the seeds that failed before, listed in proof/soak/regressions.txt")
    parser.add_argument("--services", action="store_true", help="with --regressions: the seeds that failed by changes of the services of routes")
    parser.add_argument("--seconds", type=float, default=10, help="period in which faults begin; a run takes up to 20 s more")
    parser.add_argument("--processes", type=int, default=9, help="number of daemons in a run; a third of them are balancers")
    parser.add_argument("--jobs", type=int, default=2, help="seeds run in parallel")
    parser.add_argument("--daemon", default=str(ROOT / "build/apps/rattanpickd/rattanpickd"), help="daemon program for both roles")
    parser.add_argument("--agent", default="", help="a different program for the agents, to prove that the checks detect its faults")
    parser.add_argument("--output", default=str(ROOT / "build/soak"), help="folder for logs and time lines of failed seeds")
    parser.add_argument("--keep", action="store_true", help="also keep the logs of seeds that pass")
    options = parser.parse_args(arguments)
    options.balancers = max(1, options.processes // 3)
    options.targets = max(3, options.processes - options.balancers)
    return options


def main(arguments=None):
    options = parse(arguments)
    first = options.first if options.first is not None else random.SystemRandom().randrange(1_000_000)
    if options.regressions:
        # The seeds that were recorded earlier keep the plans with which they failed.
        name = "regressions-services.txt" if options.services else "regressions.txt"
        lines = (ROOT / "proof/soak" / name).read_text().splitlines()
        options.seed += [int(line.split()[0]) for line in lines if line and not line.startswith("#")]
    seeds = options.seed or list(range(first, first + options.seeds))
    violations = 0
    with concurrent.futures.ProcessPoolExecutor(max_workers=options.jobs) as pool:
        for future in concurrent.futures.as_completed([pool.submit(run_seed, seed, options) for seed in seeds]):
            seed, found, text = future.result()
            violations += len(found)
            print(text, flush=True)
            for rule, detail in found:
                print(f"  violation {rule}: {detail}")
            if found:
                print(f"  again: tools/soak --seed {seed} --seconds {options.seconds:g} --processes {options.processes}"
                      f"{f' --agent {options.agent}' if options.agent else ''}   logs: {options.output}/seed-{seed}")
    print(f"soak: seeds={len(seeds)} violations={violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
