"""Objects that many peers receive, and that arrive from several."""

import testtools

from bronzescale_core.objects import StoreObject
from bronzescale_proxy import wire


class LargeConfigurationTest(testtools.TestCase):
    """Pattern: a large configuration is pushed to every host by several watchers."""

    def test_same_bytes_are_parsed_once(self):
        value = {"routes": [{"name": f"r{number}"} for number in range(500)]}
        message = wire.Objects(-1, -1, [StoreObject("configuration", "x", 7, value)])
        frame = wire.encode(1, message, 0)[wire.HEADER.size :]
        parsed = []
        self.patch(wire, "_COMPRESSED_VALUES", wire._CompressedValues())
        self.patch(
            wire,
            "_decompress_json",
            lambda data, load=wire._decompress_json: parsed.append(data) or load(data),
        )
        received = [wire.decode(frame, 0)[1].objects[0] for _ in range(8)]
        self.assertEqual(value, received[0].value)
        self.assertTrue(all(item.value is received[0].value for item in received))
        self.assertEqual(1, len(parsed))

    def test_changed_value_is_sent_changed(self):
        for number in range(3):
            item = StoreObject("hosts", "h", number, {"number": number})
            frame = wire.encode(1, wire.Objects(-1, -1, [item]), 0)
            decoded = wire.decode(frame[wire.HEADER.size :], 0)[1].objects[0]
            self.assertEqual(item, decoded)
