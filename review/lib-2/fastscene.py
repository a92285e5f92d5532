"""A deployment whose callers, targets and message links are played by the program `traffic`, for thousands of flows a second."""

import asyncio
import subprocess

import scene as scene_module
from proof.soak import deployment as deployment_module
from proof.soak import links as links_module
from proof.soak import segments

TRAFFIC = scene_module.ROOT / "target/review-2/traffic"
ROUTE = ("198.18.0.1", 443)
SLOTS = 5


def zone_of(index, balancers):
    """The zone that the deployment gives to the machine with the index."""
    return deployment_module.ZONES[index % 3 if index < balancers else (index - balancers) // 3 % 3]


class ListedTarget:
    """The entry of a target in the store; the process behind it is played by `traffic`."""

    def __init__(self, deployment, name, machine, service, started_at):
        self.deployment, self.name, self.machine, self.service, self.started_at = deployment, name, machine, service, started_at
        self.state = "ready"
        self.is_alive = True
        self.cold_until = 0

    async def start(self):
        pass

    def crash(self):
        self.is_alive = False

    def entry(self):
        return {"service": self.service, "address": f"{self.machine.public}:8080", "zone": self.machine.zone, "version": "1", "slots": SLOTS,
                "state": self.state, "warmup-left-ms": 0, "seq": self.deployment.next_sequence(), "born": self.started_at}


class ConnectionLinks(links_module.Links):
    """Relays connections only; the messages are delayed by `traffic`."""

    async def add(self, name, public, local, is_balancer):
        self._names[local] = name
        for port in (links_module.SPREAD_PORT, *([links_module.CONTROL_PORT] if is_balancer else [])):
            server = await asyncio.start_server(lambda reader, writer, port=port: self._pipe(reader, writer, name, local, port), public, port)
            self._servers.append(server)


class FastScene(scene_module.Scene):
    """One run of a case with many flows."""

    def __init__(self, case_folder, balancers, agents, seconds, lead, rate, delay_ms):
        super().__init__(case_folder, balancers, agents)
        self._traffic_arguments = [str(seconds), str(lead), str(rate), str(delay_ms)]
        self.traffic = None

    def prepare(self, deployment):
        """Starts the targets before the daemons, as on the platform."""
        balancers, agents = self._size
        words = [f"B:{deployment.address('local', index)}" for index in range(balancers)]
        words += [f"T:{deployment.address('public', index)}:{deployment.address('local', index)}" for index in range(balancers, balancers + agents)]
        zones = [zone_of(index, balancers) for index in range(balancers + agents)]
        words += [f"M:{deployment.address('public', index)}:{deployment.address('local', index)}:{zone}" for index, zone in enumerate(zones)]
        self.log = self._work / "openings.txt"
        command = [str(TRAFFIC), *self._traffic_arguments, deployment.address("callers", 150), ROUTE[0], str(ROUTE[1]), str(self.log), *words]
        self.traffic = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    async def __aenter__(self):
        deployment_module.Target = ListedTarget
        deployment_module.Links = ConnectionLinks
        return await super().__aenter__()

    async def __aexit__(self, *arguments):
        if self.traffic is not None and self.traffic.poll() is None:
            self.traffic.kill()
            self.traffic.wait()
        await super().__aexit__(*arguments)

    async def openings(self):
        """Waits for the end of the traffic; returns (index of the agent, time sent, time taken) of each opening that a target took."""
        while self.traffic.poll() is None:
            await asyncio.sleep(0.1)
        self.note(f"traffic: {self.traffic.stdout.read().strip()}")
        lines = self.log.read_text().splitlines()
        return [(int(index), float(sent), float(taken)) for index, sent, taken in (line.split() for line in lines)]


ROUTE_KEY = (segments.address_number(ROUTE[0]), ROUTE[1])
