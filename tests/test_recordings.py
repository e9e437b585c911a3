"""Hosts of older releases run beside this one while a fleet is replaced.

What each recorded release writes must be readable, and both must decide alike; see
`bronzescale_standins.recordings` for how a release is recorded.
"""

import json
from pathlib import Path

import testtools

from bronzescale_core.groups import load_group
from bronzescale_core.host_checks import find_host_problem
from bronzescale_core.positions import parse_token
from bronzescale_core.rendezvous import Node
from bronzescale_proxy import wire
from bronzescale_standins.recordings import (
    describe_structs,
    record_decisions,
    record_words,
    to_plain,
)

FOLDER = Path(__file__).parent / "recordings"
RELEASES = sorted(path.stem for path in FOLDER.glob("*.json"))
# Version of the recorded group's object; its document doesn't hold it.
GROUP_VERSION = 7


def recordings():
    return [
        (name, json.loads((FOLDER / f"{name}.json").read_text())) for name in RELEASES
    ]


def select(known, recorded):
    """Return what is recorded from a value that may have further fields."""
    if isinstance(recorded, dict):
        return {key: select(known.get(key), each) for key, each in recorded.items()}
    if isinstance(recorded, list) and len(recorded) == len(known):
        return [select(*pair) for pair in zip(known, recorded, strict=True)]
    return known


class RecordingTest(testtools.TestCase):
    def test_releases_are_recorded(self):
        self.assertEqual(set(), {"0.7", "0.8", "0.9"} - set(RELEASES))

    # Guards against a renumbered, renamed or removed field, which an older host reads
    # as another one.
    def test_fields_keep_their_number_name_and_type(self):
        structs = describe_structs()
        for release, recorded in recordings():
            for name, fields in recorded["structs"].items():
                self.assertEqual(fields, select(structs[name], fields), (release, name))

    # Guards against a message of an older host that is refused or read wrongly.
    def test_frames_of_older_releases_are_read(self):
        for release, recorded in recordings():
            for entry in recorded["frames"]:
                payload = bytes.fromhex(entry["frame"])[wire.HEADER.size :]
                _, message = wire.decode(payload, 0)
                self.assertEqual(entry["message"], type(message).__name__)
                fields = select(to_plain(message), entry["fields"])
                self.assertEqual(entry["fields"], fields, release)

    def test_words_in_frames_keep_their_meaning(self):
        words = record_words()
        for release, recorded in recordings():
            for name, known in recorded["words"].items():
                if name == "steps":
                    self.assertEqual(known, words[name][: len(known)], release)
                elif name == "statuses":
                    self.assertEqual(known, select(words[name], known), release)
                else:
                    self.assertEqual(set(), set(known) - set(words[name]), release)

    # Guards against two hosts that act for the same database, customer or zone.
    def test_hosts_of_two_releases_decide_alike(self):
        decisions = record_decisions()
        for release, recorded in recordings():
            known = recorded["decisions"]
            self.assertEqual(known, select(decisions, known), release)

    def test_stored_objects_of_older_releases_are_read(self):
        for release, recorded in recordings():
            group = recorded["group"]
            state = load_group(group["document"], GROUP_VERSION)
            self.assertEqual(
                group["state"], select(to_plain(state), group["state"]), release
            )
            self.assertIs(None, find_host_problem(Node("n1", **recorded["host"])))

    def test_tokens_of_older_releases_are_read(self):
        for release, recorded in recordings():
            token = recorded["token"]
            self.assertEqual(
                token["token"], to_plain(parse_token(token["text"])), release
            )


class NewerReleaseTest(testtools.TestCase):
    """Frames are in thrift's compact protocol, with bytes of its field headers."""

    def test_unknown_field_is_ignored(self):
        hello = wire.Hello("n1", 5)
        payload = wire.encode(1, hello, 0)[wire.HEADER.size :]
        # Field 3 is a string of three bytes; three structs end after it.
        newer = payload[:-3] + b"\x18\x03new" + payload[-3:]
        self.assertEqual((1, hello), wire.decode(newer, 0))

    def test_unknown_message_is_none(self):
        # Request 1 with an empty struct as field 99 of the body.
        payload = b"\x16\x02\x1c\x0c\xc6\x01\x00\x00\x00"
        self.assertEqual((1, None), wire.decode(payload, 0))
