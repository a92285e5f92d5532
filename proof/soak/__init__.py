"""A randomized soak: the real daemons on loopback against stand-ins, with faults from outside, checked while it runs."""
