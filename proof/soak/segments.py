"""Packets of byte-stream flows as callers and targets write them, and what a request and an answer look like inside."""

import dataclasses
import hashlib
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 64, 128, 32, 16, 1
HEAD = struct.Struct("<IIHHIIBBIHI")
# The daemons must neither know this key nor need it.
KEY = b"soak"
MAXIMUM_DATA = 1200
# The window in which a caller accepts a reset, in bytes.
RESET_WINDOW = 76_800

REQUEST = struct.Struct("<QBI")
ANSWER = struct.Struct("<QBI")
ANSWERED, NOT_RUN = 1, 2


def address_number(text):
    high, second, third, low = (int(part) for part in text.split("."))
    return high << 24 | second << 16 | third << 8 | low


def address_text(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


@dataclasses.dataclass(frozen=True)
class Segment:
    source: tuple
    destination: tuple
    flags: int
    sequence: int = 0
    acknowledgement: int = 0
    data: bytes = b""
    tag: int = 0
    checksum: int = 0

    def summed(self):
        head = HEAD.pack(self.sequence, self.acknowledgement, self.destination[1], self.source[1], self.source[0],
                         self.destination[0], self.flags & ~BOUNCED, 0, 0, len(self.data), 0)
        return zlib.crc32(KEY + head + self.data)

    def encode(self, tag=0, flags=None):
        return HEAD.pack(self.sequence, self.acknowledgement, self.destination[1], self.source[1], self.source[0],
                         self.destination[0], self.flags if flags is None else flags, 0, self.summed(), len(self.data),
                         tag) + self.data

    def is_genuine(self):
        """Whether the packet is one that its sender wrote so."""
        return self.checksum == self.summed()


def decode(packet):
    fields = HEAD.unpack_from(packet)
    sequence, acknowledgement, destination_port, source_port, source, destination, flags, _, checksum, length, tag = fields
    data = packet[HEAD.size:]
    if len(data) != length:
        return None
    return Segment((source, source_port), (destination, destination_port), flags, sequence, acknowledgement, data, tag, checksum)


def body(number, length):
    """The body of the answer to a request: nobody can make up another one's."""
    pattern = hashlib.sha256(b"body %d" % number).digest()
    return (pattern * (length // len(pattern) + 1))[:length]


def add(sequence, count):
    return (sequence + count) & 0xFFFFFFFF


def distance(later, earlier):
    """How far a sequence number is behind another, as a signed number."""
    gap = (later - earlier) & 0xFFFFFFFF
    return gap - (1 << 32) if gap >= 1 << 31 else gap
