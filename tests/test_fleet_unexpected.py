"""A malformed message or an unexpected error ends no process of the fleet."""

import struct

import anyio
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzescale_platform.line_codec import PlatformLineCodec
from bronzescale_proxy import wire
from bronzescale_proxy.exceptions import PeerUnavailableError
from bronzescale_proxy.peers import FrameStream
from bronzescale_standins.fleet.testing import in_loop
from bronzescale_standins.fleet.world import running_world

FRAMES = (
    b"\x00\x00\x00\x06abcdef",
    struct.pack(">I", 0),
    struct.pack(">I", 3) + b"\xff\xff\xff",
    struct.pack(">I", 2**31),
    struct.pack(">I", 64) + bytes(64),
)


async def send_to(port, data):
    """Send bytes to a port and wait until the other side closes the connection."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        try:
            await stream.send(data)
            await stream.send_eof()
            with anyio.move_on_after(1):
                while True:
                    await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            return


class MalformedMessageTest(testtools.TestCase):
    @in_loop
    async def test_malformed_frames_from_a_peer_end_no_process(self):
        async with running_world() as world:
            member = world.members[0]
            for frame in FRAMES:
                await send_to(member.peer_port, frame)
            await self.check_serving(world, member)

    @in_loop
    async def test_heartbeat_with_wrong_types_ends_no_process(self):
        async with running_world() as world:
            member = world.members[0]
            heartbeat = wire.Heartbeat("n2", 1, 0, 0, [], (1, 2, 3))
            frame = wire.encode(1, heartbeat, 0)
            await send_to(member.peer_port, frame.replace(b"n2", b"\xff\xfe"))
            await self.check_serving(world, member)

    @in_loop
    async def test_malformed_readiness_and_caller_messages_end_no_process(self):
        async with running_world() as world:
            member = world.members[0]
            for data in (b"\x00" * 20, b"GET /\x00 HTTP/9\r\n\r\n", b"\r\n\r\n", b""):
                await send_to(member.ready_port, data)
                await send_to(member.caller_port, data)
            await self.check_serving(world, member)

    @in_loop
    async def test_unexpected_error_of_a_handler_closes_only_its_session(self):
        async with running_world() as world:
            member = world.members[0]
            caller = await member.caller("own")

            def fail(*args):
                raise RuntimeError("unexpected")

            patched = type(member.process.node.metrics)
            original = patched.observe_statement
            self.patch(patched, "observe_statement", fail)
            try:
                await caller.query("READ x", timeout_s=2)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                pass
            self.patch(patched, "observe_statement", original)
            self.assertTrue(member.log.events("task_failed"))
            await self.check_serving(world, member)

    @in_loop
    async def test_unexpected_error_of_a_background_task_is_survived(self):
        async with running_world() as world:
            member = world.members[0]
            node = member.process.node
            original = node.sweep
            calls = []

            def fail_once():
                calls.append(1)
                if len(calls) == 1:
                    raise RuntimeError("unexpected")
                original()

            node.sweep = fail_once
            await world.wait_until(lambda: len(calls) > 3)
            await self.check_serving(world, member)

    async def check_serving(self, world, member):
        self.assertFalse(member.ended.is_set())
        caller = await member.caller("own")
        self.assertTrue((await caller.query("READ x")).is_done)


class DecoderTest(testtools.TestCase):
    """Every input is decoded or refused with an error that its reader handles."""

    @given(st.binary(max_size=200))
    @settings(derandomize=True, max_examples=500, deadline=None)
    def test_frames(self, payload):
        async def receive():
            send, receive = anyio.create_memory_object_stream(1)
            frame = wire.HEADER.pack(len(payload)) + payload
            send.send_nowait(frame)
            send.close()
            frames = FrameStream(receive, lambda *counted: None)
            try:
                request_id, _ = await frames.receive()
            except PeerUnavailableError:
                return
            assert request_id is None or isinstance(request_id, int)

        anyio.run(receive)

    @given(st.binary(max_size=200))
    @settings(derandomize=True, max_examples=500)
    def test_lines(self, line):
        codec = PlatformLineCodec()
        codec.decode_caller(line)
        codec.decode_upstream(line)
        codec.decode_status(line.decode("latin-1"))

    def test_number_with_thousands_of_digits(self):
        codec = PlatformLineCodec()
        digits = "1" * 5_000
        codec.decode_upstream(f"READY I {digits}.{digits}".encode())
        self.assertIs(None, codec.decode_status(f"replica 3 {digits}.1 {digits} 1 2 3"))
        codec.decode_status(f"replica 3 {digits}.1 0 1 2 3")
