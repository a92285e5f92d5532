"""The network between the daemons: a relay in front of each process that drops, delays and blocks traffic."""

import asyncio
import socket

MESSAGE_PORT, SPREAD_PORT, CONTROL_PORT = 7720, 7721, 8166
BUFFER_BYTES = 65536


def datagram_socket(address, port):
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    opened.setblocking(False)
    opened.bind((address, port))
    return opened


def drain(receiver, handle, limit=64):
    """Receives queued datagrams, up to a limit, so that other handlers of the event loop are not starved."""
    for _ in range(limit):
        try:
            packet, sender = receiver.recvfrom(BUFFER_BYTES)
        except (BlockingIOError, ConnectionRefusedError):
            return
        handle(packet, sender[0])


class Links:
    """Relays datagrams and connections to each process and applies the link faults in force."""

    def __init__(self, random):
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._sockets = {}
        self._names = {}
        self._servers = []
        # Pairs (sender, receiver) of process names whose traffic is blocked; "*" stands for any process.
        self.cuts = set()
        # Processes whose incoming connections are accepted and left without an answer, or reset.
        self.silenced, self.resetting = set(), set()
        # Share of datagrams that are lost, and the maximum delay of a datagram in seconds.
        self.loss, self.delay = 0.0, 0.0

    async def add(self, name, public, local, is_balancer):
        """Starts the relay of a process at its public address; the process itself listens at its local one."""
        relay = datagram_socket(public, MESSAGE_PORT)
        self._sockets[name] = relay
        self._names[local] = name
        self._loop.add_reader(relay, drain, relay, lambda packet, sender: self._forward(packet, sender, name, local, relay))
        for port in (SPREAD_PORT, *([CONTROL_PORT] if is_balancer else [])):
            server = await asyncio.start_server(lambda reader, writer, port=port: self._pipe(reader, writer, name, local, port), public, port)
            self._servers.append(server)

    def close(self):
        for server in self._servers:
            server.close()
        for relay in self._sockets.values():
            self._loop.remove_reader(relay)
            relay.close()

    def is_cut(self, sender, receiver):
        return not self.cuts.isdisjoint({(sender, receiver), ("*", receiver), (sender, "*")})

    def is_lost(self):
        return self._random.random() < self.loss

    def _forward(self, packet, sender, name, local, relay):
        if self.is_cut(self._names.get(sender), name) or self.is_lost():
            return
        if self.delay > 0:
            self._loop.call_later(self._random.random() * self.delay, self._send, relay, packet, local)
        else:
            self._send(relay, packet, local)

    @staticmethod
    def _send(relay, packet, local):
        try:
            relay.sendto(packet, (local, MESSAGE_PORT))
        except (BlockingIOError, ConnectionRefusedError, OSError):
            # A datagram that cannot be sent counts as lost, as on any network.
            pass

    async def _pipe(self, reader, writer, name, local, port):
        if name in self.resetting:
            writer.transport.abort()
            return
        if name in self.silenced or ("*", name) in self.cuts:
            await asyncio.sleep(30)
            writer.close()
            return
        try:
            inner_reader, inner_writer = await asyncio.open_connection(local, port)
        except OSError:
            writer.transport.abort()
            return

        async def copy(source, sink):
            try:
                while data := await source.read(BUFFER_BYTES):
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            sink.close()

        await asyncio.gather(copy(reader, inner_writer), copy(inner_reader, writer))
