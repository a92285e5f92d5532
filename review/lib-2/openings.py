"""Counts the openings that a server takes, as the rule of cold servers does."""

import asyncio

from proof.soak.segments import SYN

WINDOW_SECONDS = 1.0


def record_openings(deployment, target):
    """Records the openings that the target takes from now on: when the caller sent the first copy, and when it arrived."""
    loop = asyncio.get_running_loop()
    sent, taken = {}, []
    send, take = deployment.router.send, target._open

    def recorded_send(segment):
        if segment.flags & SYN:
            sent.setdefault((segment.source, segment.destination, segment.sequence), loop.time())
        send(segment)

    def recorded_take(key, segment):
        known = target._flows.get(key)
        if known is None or known.opening_sequence != segment.sequence:
            # An opening that was sent before the record began was not sent inside any second of the record.
            taken.append((sent.get((*key, segment.sequence), float("-inf")), loop.time()))
        take(key, segment)

    deployment.router.send, target._open = recorded_send, recorded_take
    return taken


def most_in_one_second(taken, until):
    """The most openings that were sent and arrived inside one second, among those that arrived before the time."""
    taken = [opening for opening in taken if opening[1] <= until]
    return max((sum(begin <= sent and arrived <= begin + WINDOW_SECONDS for sent, arrived in taken) for begin, _ in taken), default=0)
