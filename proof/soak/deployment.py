"""A deployment on loopback: machines with real daemons, targets next to the agents, the store, and routing checks."""

import asyncio
import dataclasses
import os
import signal
import subprocess
import time

from . import segments
from .callers import CALLERS_PORT, READY_PORT, Caller, Router
from .history import COLD_FACTOR, COLD_SLACK, DRAIN_BOUND_SECONDS, OUT_BOUND_SECONDS, ROUTE_BOUND_SECONDS
from .links import CONTROL_PORT, MESSAGE_PORT, SPREAD_PORT, Links
from .store import PORT as STORE_PORT
from .store import Store
from .targets import APP_PORT, OUTBOUND_PORT, Target

METRICS_PORT = 9464
NETWORKS = {"public": 40, "local": 41, "callers": 42, "store": 43}
ZONES = ("escale", "randoulene", "nguinth")
SERVICES = ("counter", "records")
COLD_OPENINGS_PER_SECOND, COLD_SECONDS = 6, 2.0
IDLE_TIMEOUT_MS = 8000
STOP_GRACE_SECONDS = 6.0
# A start takes 20 ms of processor time; the limit allows for a loaded machine.
START_LIMIT_SECONDS = 20.0
# If the event loop of the soak stalls for longer, the machine was overloaded or suspended, and measured times say
# nothing about the daemons.
STALL_LIMIT_SECONDS = 0.3


@dataclasses.dataclass(eq=False)
class Machine:
    name: str
    role: str
    zone: str
    public: str
    local: str
    store: str
    service: str = ""
    target: Target = None
    process: subprocess.Popen = None
    # Set while the process is down on purpose.
    is_down: bool = False


class Deployment:
    """All processes, targets and callers of the run of one seed."""

    def __init__(self, history, random, slot, folder, daemons, size):
        self.history, self.random, self.slot, self.folder, self.daemons = history, random, slot, folder, daemons
        self.balancer_count, self.target_count = size
        self.machines = []
        self.callers = []
        self.tasks = []
        self._sequence = 0
        self._incarnations = 0
        self._version = 0
        # Per route: its services, and the times at which the store acknowledged its addition, their latest change and its removal.
        self.routes = {}
        self.out_zones = {}
        self.published_routes = set()
        self._opening_times = {}
        self._logs = []

    def address(self, network, index):
        return f"127.{NETWORKS[network]}.{self.slot}.{index + 1}"

    def next_sequence(self):
        self._sequence += 1
        return self._sequence

    # Start and end

    async def start(self):
        self.store = Store(self.history, self.random)
        self.links = Links(self.random)
        self.router = Router(self)
        for index in range(self.balancer_count + self.target_count):
            is_balancer = index < self.balancer_count
            role = "balancer" if is_balancer else "agent"
            number = index if is_balancer else index - self.balancer_count
            # The first service has twice the targets of the second; each has one in every zone if there are enough targets.
            service = "" if is_balancer else SERVICES[int(number % 3 == 2)]
            machine = Machine(f"{role}-{number}", role, ZONES[number // 3 % 3 if not is_balancer else number % 3], self.address("public", index),
                              self.address("local", index), self.address("store", index), service)
            self.machines.append(machine)
            await self.links.add(machine.name, machine.public, machine.local, is_balancer)
            await self.store.listen(machine.name, machine.store)
        for number, service in enumerate(SERVICES):
            self.routes[(segments.address_number(f"198.18.0.{number + 1}"), 443)] = self._route(service, 0)
        self.publish()
        for machine in self.agents():
            await self.start_target(machine, is_cold=False)
        for machine in self.machines:
            self.write_settings(machine, is_initial_start=True)
            self.launch(machine)
        for machine in self.balancers():
            self.tasks.append(self.router.add(machine))
        self.tasks.append(asyncio.create_task(self._watch_processes()))
        self.tasks.append(asyncio.create_task(self._watch_stalls()))
        for index in range(4):
            self.callers.append(Caller(self, index))
        limit = self.history.clock() + START_LIMIT_SECONDS
        while not self.router.are_all_ready():
            if self.history.clock() > limit:
                self.history.add_violation("start", 0, "the balancers were not ready in time")
                return
            await asyncio.sleep(0.05)

    async def end(self):
        # wait_for() of Python 3.11 swallows a cancellation that coincides with its result, so that a readiness probe
        # never ended (seed 2045). The tasks are therefore cancelled until all of them have ended.
        while pending := [task for task in self.tasks if not task.done()]:
            for task in pending:
                task.cancel()
            await asyncio.wait(pending, timeout=1)
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
            if machine.target and machine.target.is_alive:
                machine.target.crash()
        for caller in self.callers:
            caller.close()
        self.links.close()
        self.store.close()
        for log in self._logs:
            log.close()

    def balancers(self):
        return [machine for machine in self.machines if machine.role == "balancer"]

    def agents(self):
        return [machine for machine in self.machines if machine.role == "agent"]

    # Processes

    def write_settings(self, machine, is_initial_start=False):
        seeds = ",".join(f"{balancer.public}:{CONTROL_PORT}" for balancer in self.balancers()[:3])
        lines = ["[process]", f"name = {machine.name}", f"role = {machine.role}", f"data-centre = {machine.zone}", "log-level = debug",
                 f"initial-start = {str(is_initial_start).lower()}",
                 f"stop-grace-seconds = {int(STOP_GRACE_SECONDS)}", "[listen]", f"bind-address = {machine.local}",
                 f"callers = {machine.local}:{CALLERS_PORT}", f"messages = {machine.public}:{MESSAGE_PORT}",
                 f"ready = {machine.local}:{READY_PORT}", f"metrics = {machine.local}:{METRICS_PORT}", f"spread = {machine.public}:{SPREAD_PORT}"]
        if machine.role == "balancer":
            lines += [f"control = {machine.public}:{CONTROL_PORT}"]
        else:
            lines += [f"outbound = {machine.local}:{OUTBOUND_PORT}"]
        lines += ["[directory]", f"store = {machine.store}:{STORE_PORT}", f"seeds = {seeds}", "[flows]", "maximum-age-seconds = 60"]
        if machine.role == "agent":
            lines += ["[target]", f"address = {machine.public}:{APP_PORT}", f"service = {machine.service}", f"cold-factor = {COLD_FACTOR}",
                      f"cold-slack = {COLD_SLACK}"]
        (self.folder / f"{machine.name}.ini").write_text("\n".join(lines) + "\n")

    def launch(self, machine):
        if machine.is_down:
            return
        log = open(self.folder / f"{machine.name}.log", "ab")
        self._logs.append(log)
        command = [*self.daemons[machine.role], f"stream-{machine.role}", "--settings", str(self.folder / f"{machine.name}.ini")]
        machine.process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, machine, number):
        if machine.process and machine.process.poll() is None:
            machine.process.send_signal(number)

    async def stop(self, machine):
        """Stops a process with SIGTERM. One that does not end within the grace time is killed and recorded as a violation."""
        process = machine.process
        machine.is_down = True
        self.signal(machine, signal.SIGTERM)
        limit = self.history.clock() + STOP_GRACE_SECONDS
        while process and process.poll() is None:
            if self.history.clock() > limit:
                self.history.add_violation("grace", machine.name, f"{machine.name} did not end within {STOP_GRACE_SECONDS} s of SIGTERM")
                process.kill()
                process.wait()
                break
            await asyncio.sleep(0.02)
        if process and process.returncode not in (0, -signal.SIGKILL):
            self.history.add_violation("exit", machine.name, f"{machine.name} ended with exit status {process.returncode} at a planned stop")

    async def kill(self, machine, down_time):
        self.history.mark_disturbed(machine.name, self.history.clock() + down_time)
        if machine.process is None:
            return
        machine.is_down = True
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()
        await asyncio.sleep(down_time)
        self.restart(machine)

    def restart(self, machine):
        if machine.process is None or machine.process.poll() is not None:
            machine.is_down = False
            self.write_settings(machine)
            self.launch(machine)

    async def _watch_processes(self):
        while True:
            for machine in self.machines:
                if not machine.is_down and machine.process and machine.process.poll() is not None:
                    self.history.add_violation("exit", machine.name, f"{machine.name} ended unexpectedly with exit status {machine.process.returncode}")
                    self.launch(machine)
            await asyncio.sleep(0.05)

    async def _watch_stalls(self):
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.05)
            if time.monotonic() - begin > 0.05 + STALL_LIMIT_SECONDS:
                self.history.log_event("the event loop of the soak stalled; time bounds are not checked until it has settled")
                self.history.mark_all_disturbed()
                self.history.is_planned_only = False

    # Targets

    async def start_target(self, machine, is_cold=True, name=None):
        self._incarnations += 1
        target = Target(self, name or f"t{self._incarnations:04x}", machine, machine.service, 1_700_000_000_000 + self._incarnations * 1000)
        target.cold_until = self.history.clock() + COLD_SECONDS if is_cold else 0
        machine.target = target
        await target.start()
        self.store.put(f"servers/{target.name}", target.entry())
        return target

    async def replace_target(self, machine, drain_time, service=None, unlisted_time=0):
        """Drains the target, stops it and its agent, and starts another target at the same address.

        The target outlives its entry by `unlisted_time`.
        """
        target = machine.target
        if machine.is_down or not target.is_alive or target.state == "draining":
            return
        self.drain(target)
        await asyncio.sleep(drain_time)
        self.store.remove(f"servers/{target.name}")
        await asyncio.sleep(unlisted_time)
        target.crash()
        await self.stop(machine)
        # An address is reused after two seconds at the earliest.
        await asyncio.sleep(2.0)
        machine.service = service or machine.service
        await self.start_target(machine)
        self.restart(machine)

    def drain(self, target):
        target.state = "draining"
        self.store.put(f"servers/{target.name}", target.entry())
        if self.store.is_stable():
            target.draining_since = self.history.clock()

    async def crash_target(self, machine, down_time, keeps_name, service=None):
        """Ends the target without notice, then restarts it under its name or starts another target at its address."""
        target = machine.target
        if not target.is_alive or target.state == "draining" or machine.is_down:
            return
        self.history.mark_disturbed(machine.name, self.history.clock() + down_time)
        target.crash()
        if keeps_name:
            await asyncio.sleep(down_time)
            await self.start_target(machine, name=target.name)
            return
        machine.is_down = True
        self.signal(machine, signal.SIGKILL)
        await asyncio.sleep(max(down_time, 2.0))
        self.store.remove(f"servers/{target.name}")
        machine.service = service or machine.service
        await self.start_target(machine)
        self.restart(machine)

    # Configuration

    def publish(self):
        """Publishes the routes in force as the next version of the configuration."""
        self._version += self.random.randint(1, 3)
        routes = []
        for (address, port), route in self.routes.items():
            if route["dropped"] is None:
                names = route["services"]
                destinations = {"service": names[0]} if len(names) == 1 else {"backends": [{"service": name, "weight": 1} for name in names]}
                routes.append({"hostname": segments.address_text(address), "prefix": f"/{port}/", **destinations, "type": "safe",
                               "timeout-ms": 4000, "objective-ms": 500, "priority": 1})
                self.published_routes.update(((address, port), name) for name in names)
        services = [{"name": service, "warmup-s": COLD_SECONDS, "warmup-per-s": COLD_OPENINGS_PER_SECOND, "health-path": "/health"} for service in SERVICES]
        self.store.put("op/config", {"version": self._version, "routes": routes, "services": services,
                                     "limits": {"idle-timeout-ms": IDLE_TIMEOUT_MS}})

    @staticmethod
    def _route(service, added):
        # The cases in review/ read "service".
        return {"service": service, "services": [service], "added": added, "changed": 0, "dropped": None}

    def add_route(self, number):
        key = (segments.address_number("198.18.1.1"), 1000 + number)
        self.routes[key] = self._route(SERVICES[number % 2], self.history.clock())
        self.publish()
        return key

    def drop_route(self, key):
        self.routes[key]["dropped"] = self.history.clock()
        self.publish()

    def change_services(self, key, services):
        """Sends new flows of the route to other services; open flows stay where they are."""
        self.routes[key].update(service=services[0], services=services, changed=self.history.clock())
        self.publish()

    def set_out(self, zone, is_out):
        if is_out:
            self.store.put(f"op/evacuate/{zone}", {})
            self.out_zones[zone] = self.history.clock() if self.store.is_stable() else float("inf")
        else:
            self.store.remove(f"op/evacuate/{zone}")
            self.out_zones.pop(zone, None)
            for machine in self.agents():
                if machine.zone == zone:
                    machine.target.cold_until = self.history.clock() + COLD_SECONDS

    # Checks

    def may_serve(self, destination, service):
        return (destination, service) in self.published_routes

    def check_opening(self, target, destination):
        """Checks whether a target that accepts an opening was allowed to receive it."""
        now = self.history.clock()
        target.openings.append(now)
        while now - target.openings[0] > 1.0:
            target.openings.popleft()
        if now < target.cold_until and len(target.openings) > COLD_OPENINGS_PER_SECOND * COLD_FACTOR + COLD_SLACK:
            self.history.add_violation("cold", target.name, f"{target.name} is cold and received {len(target.openings)} openings within one second")
        if not self.history.is_undisturbed(target.machine.name, *(balancer.name for balancer in self.balancers())):
            return
        if target.draining_since is not None and now - target.draining_since > DRAIN_BOUND_SECONDS:
            self.history.add_violation("drain", target.name, f"{target.name} received an opening {now - target.draining_since:.2f} s after its drain")
        out_since = self.out_zones.get(target.machine.zone)
        if out_since is not None and now - out_since > OUT_BOUND_SECONDS:
            self.history.add_violation("out", target.name, f"{target.name} received an opening {now - out_since:.2f} s after its data centre was taken out")
        route = self.routes.get(destination)
        if route is None:
            return
        if target.service not in route["services"] and now - route["changed"] > ROUTE_BOUND_SECONDS:
            self.history.add_violation("config", destination, f"{target.name} received an opening {now - route['changed']:.2f} s after its service was "
                                                              "taken off the route")
        dropped = route["dropped"]
        if dropped is not None and now - dropped > ROUTE_BOUND_SECONDS:
            self.history.add_violation("route", destination, f"{target.name} received an opening {now - dropped:.2f} s after its route was dropped")

    def flow_opened(self, key):
        self._opening_times[key] = self.history.clock()

    def find_holder(self, key, sequence, acknowledgement):
        """The machine whose target holds the flow of a caller's sequence numbers, and the flow there; None if no target does."""
        for machine in self.agents():
            flow = machine.target.find_open(key)
            if flow is not None and flow.fits(sequence, acknowledgement):
                return machine, flow
        return None, None

    def record_arrival(self, target, key, segment):
        holder, flow = self.find_holder(key, segment.sequence, segment.acknowledgement)
        if holder is None or self.routes.get(key[1], {}).get("dropped") is not None:
            return
        if holder.target is target:
            self.history.arrivals.record_own(flow, segment.identity(), target.name)
            return
        involved = (holder.name, target.machine.name, *(balancer.name for balancer in self.balancers()))
        packet = segment.identity()
        self.history.arrivals.record_stray(flow, packet, target.name, self.history.is_undisturbed(*involved))

    def check_reset(self, key, sequence, acknowledgement):
        """Checks a reset that the load balancer itself sent on an open flow: no running target may hold the flow."""
        if self.routes.get(key[1], {}).get("dropped") is not None:
            return
        machine, _ = self.find_holder(key, sequence, acknowledgement)
        if machine is not None:
            age = self.history.clock() - self._opening_times.get(key, 0)
            self.history.add_violation("flow", key, f"the flow from port {key[0][1]} was reset after {age:.2f} s although {machine.target.name} "
                                                    f"next to {machine.name} holds it")
