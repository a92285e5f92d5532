"""Planned changes and faults of a running deployment: a plan that depends on the seed alone, and its execution."""

import asyncio
import dataclasses
import signal

from .deployment import SERVICES, ZONES

# A valid entry of a target but for the parts in angle brackets.
_ENTRY = (b'{"service": "counter", "address": "127.99.0.9:<port>", "zone": "escale", "version": "v1", "slots": <slots>, "state": "ready", '
          b'"warmup-left-ms": 0, "seq": 1}')
# Entries of another writer, which name no target.
FOREIGN_VALUES = [b"\xff\x00", b"[]", b'{"service": 7, "state": "odd"}', b"[" * 200_000,
                  _ENTRY.replace(b"<port>", b"70000").replace(b"<slots>", b"2"),
                  _ENTRY.replace(b"<port>", b"8080").replace(b"<slots>", b"1e308")]


@dataclasses.dataclass(frozen=True)
class Step:
    at: float
    kind: str
    # Random numbers in [0, 1) that determine the choices of the step.
    draws: tuple

    def __str__(self):
        return f"{self.at:.2f} {self.kind} {' '.join(f'{draw:.3f}' for draw in self.draws)}"


def make_plan(random, seconds):
    """Returns the steps of a run and whether all of them are planned changes. They are sorted by time and may overlap."""
    is_planned_only = random.random() < 0.35
    kinds = PLANNED if is_planned_only else [*PLANNED, *UNPLANNED, *UNPLANNED]
    steps = []
    for _ in range(random.randint(4, 7) if is_planned_only else random.randint(4, 9)):
        steps.append(Step(random.uniform(0.5, seconds), random.choice(kinds), tuple(random.random() for _ in range(4))))
    return sorted(steps, key=lambda step: step.at), is_planned_only


def make_flow_plan(random, seconds, is_planned_only):
    """Returns further steps, in which processes are restarted while the list of targets lacks some that hold flows."""
    leaving = random.uniform(0.5, 0.4 * seconds)
    # The entry leaves after 3.2 to 3.7 s; processes that start then have never seen it.
    steps = [("leave", leaving), ("roll_both", leaving + random.uniform(3.2, 4.5)), ("roll_both", random.uniform(0.5, seconds))]
    if not is_planned_only and random.random() < 0.5:
        steps.append(("outage", random.uniform(0.5, seconds)))
    return [Step(at, kind, tuple(random.random() for _ in range(4))) for kind, at in steps]


def make_service_plan(random, seconds):
    """Returns changes of the services of routes, with restarts of processes after them, so that flows of former services are looked up."""
    steps = []
    for _ in range(random.randint(1, 3)):
        changing = random.uniform(0.5, seconds)
        steps += [("services", changing), ("roll_both", changing + random.uniform(0, 3))]
    return [Step(at, kind, tuple(random.random() for _ in range(4))) for kind, at in steps]


class Faults:
    """Executes the steps of a plan on a deployment."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._history = deployment.history
        self._added = []

    async def execute(self, step):
        self._history.log_event(f"fault {step}")
        await getattr(self, f"_{step.kind}")(*step.draws)
        self._history.log_event(f"fault {step.kind} of {step.at:.2f} has ended")

    @staticmethod
    def _choose(items, draw):
        return items[min(int(draw * len(items)), len(items) - 1)]

    def _choose_range(self, items, draw, maximum):
        """Returns up to `maximum` consecutive items, starting at an index given by `draw`; wraps around at the end."""
        begin, count = int(draw * len(items)), 1 + int(draw * 1000) % maximum
        return [items[(begin + index) % len(items)] for index in range(min(count, len(items)))]

    def _has_other_targets(self, machine, count):
        """Whether the service has this many ready targets besides that of the machine."""
        others = [other for other in self._deployment.agents()
                  if other is not machine and other.service == machine.service and other.target.is_alive and other.target.state == "ready"
                  and other.zone not in self._deployment.out_zones]
        return len(others) >= count

    # Planned changes

    async def _roll(self, first, gap, which, _):
        machines = self._choose_range(self._deployment.balancers() if which < 0.5 else self._deployment.agents(), first, 4)
        for machine in machines:
            if machine.is_down:
                continue
            await self._deployment.stop(machine)
            await asyncio.sleep(0.2)
            self._deployment.restart(machine)
            await asyncio.sleep(0.3 + gap)

    async def _release(self, first, drain, reuse, _):
        machine = self._choose(self._deployment.agents(), first)
        # A service keeps at least two ready targets.
        if not self._has_other_targets(machine, 2):
            return
        service = SERVICES[reuse < 0.5] if self._has_other_targets(machine, 3) and reuse < 0.3 else None
        await self._deployment.replace_target(machine, 3.2 + 2 * drain, service)

    async def _leave(self, first, drain, remaining, _):
        """The entry of a target leaves before the target ends."""
        machine = self._choose(self._deployment.agents(), first)
        if self._has_other_targets(machine, 2):
            await self._deployment.replace_target(machine, 3.2 + 0.5 * drain, unlisted_time=3 + 2 * remaining)

    async def _roll_both(self, first_balancer, first_agent, gap, _):
        """Balancers and agents are restarted in two series that overlap."""
        await asyncio.gather(self._roll(first_balancer, gap, 0, 0), self._roll(first_agent, gap, 1, 0))

    async def _routes(self, which, pause, _, __):
        if which < 0.5 or not self._added:
            for number in range(2):
                self._added.append(self._deployment.add_route(len(self._deployment.routes) + number))
                await asyncio.sleep(pause * 0.2)
        else:
            self._deployment.drop_route(self._added.pop())

    async def _services(self, which, choice, again, pause):
        """The services of a main route change, sometimes twice in a row."""
        route = self._choose(list(self._deployment.routes)[:len(SERVICES)], which)
        choices = [[SERVICES[0]], [SERVICES[1]], list(SERVICES)]
        self._deployment.change_services(route, self._choose(choices, choice))
        if again < 0.5:
            await asyncio.sleep(pause * 0.5)
            self._deployment.change_services(route, self._choose(choices, again * 2))

    async def _take_out(self, which, length, _, __):
        zone = self._choose(ZONES, which)
        if self._deployment.out_zones:
            return
        self._deployment.set_out(zone, True)
        await asyncio.sleep(5.5 + 2 * length)
        self._deployment.set_out(zone, False)

    async def _reload(self, which, _, __, ___):
        self._deployment.signal(self._choose(self._deployment.machines, which), signal.SIGHUP)

    async def _reshuffle(self, *_):
        self._deployment.router.salt += 1

    # Unplanned faults of processes

    async def _kill(self, first, down, which, _):
        machines = self._choose_range(self._deployment.balancers() if which < 0.5 else self._deployment.agents(), first, 3)
        await asyncio.gather(*(self._deployment.kill(machine, 0.2 + down) for machine in machines if not machine.is_down))

    async def _kill_all(self, down, _, __, ___):
        machines = [machine for machine in self._deployment.machines if not machine.is_down]
        await asyncio.gather(*(self._deployment.kill(machine, 0.2 + down) for machine in machines))

    async def _pause(self, first, length, _, __):
        for machine in self._choose_range(self._deployment.machines, first, 2):
            if machine.is_down:
                continue
            time = 0.3 + 3 * length
            self._history.mark_disturbed(machine.name, self._history.clock() + time)
            self._deployment.signal(machine, signal.SIGSTOP)
            await asyncio.sleep(time)
            self._deployment.signal(machine, signal.SIGCONT)

    # Faults of the network

    async def _cut(self, which, length, direction, peer):
        machine = self._choose(self._deployment.machines, which)
        other = "*" if peer < 0.5 else self._choose(self._deployment.machines, peer).name
        cuts = {(machine.name, other)} if direction < 0.3 else {(other, machine.name)}
        cuts = cuts if direction < 0.6 else {(machine.name, other), (other, machine.name)}
        await self._apply_link_fault(length, [machine.name, other], "cuts", cuts)

    async def _silence(self, which, length, _, __):
        machine = self._choose(self._deployment.machines, which)
        await self._apply_link_fault(length, [machine.name], "silenced", {machine.name})

    async def _reset_links(self, which, length, _, __):
        machine = self._choose(self._deployment.machines, which)
        await self._apply_link_fault(length, [machine.name], "resetting", {machine.name})

    async def _apply_link_fault(self, length, names, attribute, values):
        time = 0.5 + 3 * length
        for name in names:
            self._history.mark_disturbed(name, self._history.clock() + time)
        added = values - getattr(self._deployment.links, attribute)
        getattr(self._deployment.links, attribute).update(added)
        await asyncio.sleep(time)
        getattr(self._deployment.links, attribute).difference_update(added)

    async def _lose(self, share, delay, length, _):
        time = 0.5 + 2 * length
        self._history.mark_disturbed("*", self._history.clock() + time)
        self._deployment.links.loss, self._deployment.links.delay = 0.2 * share, 0.1 * delay
        await asyncio.sleep(time)
        self._deployment.links.loss = self._deployment.links.delay = 0.0

    # Faults of the store

    async def _store(self, mode, length, scope, expiry):
        modes = ("silent", "busy", "limited", "reset", "slow", "garbage", "lost")
        chosen = self._choose(modes, mode)
        names = ["*"] if scope < 0.5 else [machine.name for machine in self._choose_range(self._deployment.machines, scope, 4)]
        names = [name for name in names if name not in self._deployment.store.modes]
        time = 1.0 + 4 * length
        for name in names:
            self._history.mark_disturbed(name, self._history.clock() + time)
            self._deployment.store.modes[name] = chosen
        # Directory entries expire unnoticed while the store answers no process.
        expired = self._expire_entries(expiry) if "*" in names and expiry < 0.5 and chosen not in ("slow", "lost") else []
        await asyncio.sleep(time)
        for name in names:
            del self._deployment.store.modes[name]
        # Targets whose entries have expired register again within two seconds.
        await asyncio.sleep(expiry * 2)
        self._register_again(expired)

    async def _outage(self, length, expiry, which, first):
        """Entries expire while the store is away; processes are restarted as planned once it is back, before all entries are."""
        if self._deployment.store.modes:
            return
        self._deployment.store.modes["*"] = "silent"
        self._history.mark_disturbed("*", self._history.clock() + 3 + 2 * length)
        expired = self._expire_entries(expiry / 2)
        await asyncio.sleep(3 + 2 * length)
        del self._deployment.store.modes["*"]
        roll = asyncio.create_task(self._roll(first, 0, which, 0))
        await asyncio.sleep(1.8)
        self._register_again(expired)
        await roll

    def _register_again(self, targets):
        for target in targets:
            if target.is_alive:
                self._deployment.store.put(f"servers/{target.name}", target.entry())

    def _expire_entries(self, draw):
        targets = [machine.target for machine in self._choose_range(self._deployment.agents(), draw * 2, 3) if machine.target.is_alive]
        for target in targets:
            self._deployment.store.remove(f"servers/{target.name}")
        return targets

    async def _forget(self, *_):
        self._history.mark_disturbed("*")
        self._deployment.store.compact()

    async def _malformed(self, which, _, __, ___):
        key = f"servers/foreign{int(which * 100)}"
        self._deployment.store.put(key, self._choose(FOREIGN_VALUES, which))
        await asyncio.sleep(1 + which)
        self._deployment.store.remove(key)

    # Faults of targets

    async def _crash(self, which, down, same, reuse):
        machine = self._choose(self._deployment.agents(), which)
        others = [other for other in self._deployment.agents() if other is not machine and other.service == machine.service and other.target.is_alive]
        if len(others) < 2:
            return
        service = SERVICES[reuse < 0.5] if len(others) > 2 and same >= 0.5 else None
        await self._deployment.crash_target(machine, 0.3 + 2 * down, same < 0.5, service)


PLANNED = ["roll", "roll", "release", "release", "routes", "take_out", "reload", "reshuffle"]
UNPLANNED = ["kill", "kill", "kill_all", "pause", "cut", "silence", "reset_links", "lose", "store", "store", "forget", "malformed", "crash"]
