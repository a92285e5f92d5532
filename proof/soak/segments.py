"""Wire format of byte-stream segments between callers and targets, and of the requests and answers in them."""

import dataclasses
import hashlib
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 64, 128, 32, 16, 1
HEADER = struct.Struct("<IIHHIIBBIHI")
# Keys the end-to-end checksum of callers and targets; the daemons do not have it and must work without it.
CHECKSUM_KEY = b"soak"
MAXIMUM_DATA_BYTES = 1200
# A caller accepts a reset whose sequence number is within this distance of the expected one.
RESET_WINDOW_BYTES = 76_800

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

    def computed_checksum(self):
        header = HEADER.pack(self.sequence, self.acknowledgement, self.destination[1], self.source[1], self.source[0],
                         self.destination[0], self.flags & ~BOUNCED, 0, 0, len(self.data), 0)
        return zlib.crc32(CHECKSUM_KEY + header + self.data)

    def encode(self, tag=0, flags=None):
        return HEADER.pack(self.sequence, self.acknowledgement, self.destination[1], self.source[1], self.source[0],
                         self.destination[0], self.flags if flags is None else flags, 0, self.computed_checksum(), len(self.data),
                         tag) + self.data

    def identity(self):
        """What a packet and its repetitions have in common, within its flow."""
        return (self.sequence, self.acknowledgement, self.flags, len(self.data))

    def is_intact(self):
        """Whether the packet arrived as its sender wrote it, by the keyed checksum."""
        return self.checksum == self.computed_checksum()


def decode(packet):
    fields = HEADER.unpack_from(packet)
    sequence, acknowledgement, destination_port, source_port, source, destination, flags, _, checksum, length, tag = fields
    data = packet[HEADER.size:]
    if len(data) != length:
        return None
    return Segment((source, source_port), (destination, destination_port), flags, sequence, acknowledgement, data, tag, checksum)


def body(number, length):
    """The body of the answer to a request; it differs by request number, so that mixed-up answers are detected."""
    pattern = hashlib.sha256(b"body %d" % number).digest()
    return (pattern * (length // len(pattern) + 1))[:length]


def add(sequence, count):
    return (sequence + count) & 0xFFFFFFFF


def are_near(first, second):
    """Whether two sequence numbers may belong to one direction of one flow."""
    return abs(distance(first, second)) <= RESET_WINDOW_BYTES


def distance(later, earlier):
    """Signed difference of two sequence numbers modulo 2^32; positive if `later` is ahead of `earlier`."""
    gap = (later - earlier) & 0xFFFFFFFF
    return gap - (1 << 32) if gap >= 1 << 31 else gap
