"""Frames from peers must be decoded with the clock of leases and deadlines.

That clock, CLOCK_BOOTTIME, counts the time during which a host is suspended, which
CLOCK_MONOTONIC does not. If a frame were decoded with CLOCK_MONOTONIC after a
suspension, its statement would seem to have arrived earlier by the length of the
suspension, and a head that was sampled before its arrival would count as fresh.
"""

import time

import anyio
import anyio.lowlevel
from testtools import TestCase

from bronzescale_core.work import Work, WorkStep
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.peers import FrameStream

SUSPENDED_NS = 5_000_000_000


class _LoopbackStream:
    """Stream that returns the data that was sent on it."""

    def __init__(self):
        self.data = b""

    async def send(self, data):
        self.data += data

    async def receive(self, max_bytes=65_536):
        await anyio.lowlevel.checkpoint()
        data, self.data = self.data, b""
        return data


class TestPeerClock(TestCase):
    def test_arrival_and_deadline_count_suspended_time(self):
        read_clock = time.clock_gettime_ns

        def read_after_suspension(clock):
            is_boot = clock == time.CLOCK_BOOTTIME
            return read_clock(clock) + (SUSPENDED_NS if is_boot else 0)

        self.patch(time, "clock_gettime_ns", read_after_suspension)
        before_ms = now_ms()
        work = Work("s", "i", WorkStep.SINGLE, "r", "READ 1")
        sent = work._replace(deadline_ms=before_ms + 1_000, received_at_ms=before_ms)

        async def exchange():
            frames = FrameStream(_LoopbackStream(), lambda *_: None)
            await frames.send(1, sent)
            return await frames.receive()

        _, received = anyio.run(exchange)
        self.assertTrue(before_ms <= received.received_at_ms <= now_ms())
        self.assertTrue(received.deadline_ms <= now_ms() + 1_000)
        self.assertTrue(received.deadline_ms >= before_ms)
