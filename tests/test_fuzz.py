"""A seeded share of the fuzzing of all decoders, and inputs that once broke one."""

import testtools

from bronzescale_platform import documents
from bronzescale_standins import fuzz


class FuzzTest(testtools.TestCase):
    def test_no_decoder_raises_an_unexpected_error(self):
        self.assertEqual([], fuzz.run(inputs=40_000, seed=1))

    def test_infinite_setting_counts_as_missing(self):
        settings = documents.decode_settings("bounds.grace_s=inf\n")
        self.assertEqual(6_000, settings.stop_grace_ms)

    def test_configuration_with_an_infinite_number_is_unreadable(self):
        document = {**fuzz.CONFIGURATION, "version": float("inf")}
        with self.assertRaises(documents.UnreadableDocumentError):
            documents.decode_configuration(document)
