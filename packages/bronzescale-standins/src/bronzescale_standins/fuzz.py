"""Feed mutated messages to every decoder of the fleet.

    python -m bronzescale_standins.fuzz --inputs 1000000 --seed 1

A decoder may refuse an input only with the errors that its readers handle. Any other
error would reach code that does not expect it; it is printed with its input.
"""

import random
import sys
from typing import Annotated, NamedTuple

import cyclopts
from cyclopts import Parameter

from bronzescale_core.groups import GroupState, dump_group, load_group
from bronzescale_core.store_era import StoreEra
from bronzescale_platform import documents
from bronzescale_platform.line_codec import PlatformLineCodec
from bronzescale_proxy import wire
from bronzescale_standins.samples import MESSAGES

MAX_REPORTED_FAILURES = 10
VALUES = (None, True, -1, 0, 2**70, 1.5, float("inf"), "", "x", "-1", [], {}, [{}])

CALLER_LINES = (
    b"CONNECT lepu270 u3f1",
    b"QUERY 5c0e READ 1a4",
    b"QUERY 5c0e WRITE 1a4 data",
    b"QUERY 5c0e PREPARE s1 WRITE q2c",
    b"QUERY 5c0e EXECUTE s1 1a4 x",
    b"QUERY 5c0e SET name value",
    b"QUERY 5c0e DEALLOC s1",
    b"QUERY 5c0e BEGIN READ",
    b"QUERY 5c0e COMMIT",
    b"BYE",
)
UPSTREAM_LINES = (
    b"READY I 3.1207",
    b"ROW replica 3 3.1209 0 12 2 17",
    b"DONE 7.1f3.c.2b.90e1",
    b"ERROR READONLY i-7f3a",
)
SETTINGS = (
    "node=front-1\nzone=a\nregion=b\nzones.a=b\nlisten.front=10.0.0.1:1\n"
    "bounds.grace_s=6\nlimits.max_fds=4200\nheartbeat_ms=1200\nbootstrap=true\n"
)
CONFIGURATION = {
    "version": 4,
    "routes": [{"host": "a", "service": "s", "type": "primary", "timeout_ms": 800}],
    "services": [{"name": "s", "max_conns": 4}],
    "limits": {"tx_idle_ms": 3000, "max_body_bytes": 1000},
    "tenants": [
        {"name": "c", "api_keys": ["k1", "k2"], "rate_per_s": 7, "burst": 7.5},
        {"name": "d", "api_keys": ["k2"], "priority": 0},
    ],
}
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "slots": 3,
    "db_role": "replica",
    "born": 1,
}


class Failure(NamedTuple):
    """An input, by its number in the run, that a decoder did not handle."""

    decoder: str
    input_number: int
    error: str


def _mutate_bytes(data, rng):
    data = bytearray(data)
    for _ in range(rng.randint(0, 4)):
        position = rng.randrange(len(data) + 1)
        kind = rng.randrange(4)
        if kind == 0 and data:
            data[position % len(data)] = rng.randrange(256)
        elif kind == 1:
            data[position:position] = rng.randbytes(rng.randint(1, 6))
        elif kind == 2:
            del data[position : position + rng.randint(1, 8)]
        else:
            data[position:position] = rng.choice((b" ", b"9" * 5_000, b".", b"\xb2"))
    return bytes(data)


def _mutate_document(value, rng):
    if rng.random() < 0.15:
        return rng.choice(VALUES)
    if isinstance(value, dict):
        mutated = {
            key: _mutate_document(each, rng)
            for key, each in value.items()
            if rng.random() > 0.1
        }
        return mutated | ({"extra": 1} if rng.random() < 0.1 else {})
    if isinstance(value, list):
        return [_mutate_document(each, rng) for each in value]
    return value


def _frames():
    return [wire.encode(1, message, 0)[wire.HEADER.size :] for message in MESSAGES]


def _check_frame(rng, samples):
    data = _mutate_bytes(rng.choice(samples), rng)
    try:
        wire.decode(data, 0)
    except (MemoryError, RecursionError):
        raise
    except Exception:
        # `FrameStream.receive` turns every error of the codec into a lost connection.
        return data
    return data


def _check_caller_line(rng, codec):
    data = _mutate_bytes(rng.choice(CALLER_LINES), rng)
    codec.decode_caller(data)
    return data


def _check_upstream_line(rng, codec):
    data = _mutate_bytes(rng.choice(UPSTREAM_LINES), rng)
    codec.decode_upstream(data)
    codec.decode_status(data.decode("latin-1"))
    return data


def _check_settings(rng, _):
    text = _mutate_bytes(SETTINGS.encode(), rng).decode("latin-1")
    if rng.random() < 0.3:
        text += rng.choice(("bounds.grace_s=inf\n", "heartbeat_ms=nan\n", "=\n"))
    documents.decode_settings(text)
    return text


def _check_configuration(rng, _):
    document = _mutate_document(CONFIGURATION, rng)
    try:
        documents.decode_configuration(document)
    except documents.UnreadableDocumentError:
        return document
    return document


def _check_entry(rng, _):
    document = _mutate_document(ENTRY, rng)
    documents.decode_copy("d1", document)
    return document


def _check_group(rng, _):
    document = _mutate_document(dump_group(GroupState("s", 3, "d1")), rng)
    try:
        load_group(document, 7)
    except (KeyError, TypeError, ValueError, AttributeError):
        return document
    return document


def _check_era(rng, _):
    era = StoreEra(lambda: 0)
    text = _mutate_bytes(b"12", rng).decode("latin-1")
    era.read_answer(text, 0)
    return text


DECODERS = {
    "frame": (_check_frame, _frames),
    "caller line": (_check_caller_line, PlatformLineCodec),
    "upstream line": (_check_upstream_line, PlatformLineCodec),
    "settings": (_check_settings, lambda: None),
    "configuration": (_check_configuration, lambda: None),
    "entry": (_check_entry, lambda: None),
    "group": (_check_group, lambda: None),
    "store era": (_check_era, lambda: None),
}


def run(inputs, seed):
    """Feed mutated inputs to all decoders in turn.

    Parameters
    ----------
    inputs : int
        Number of inputs in all.
    seed : int
        Seed of the mutations.

    Returns
    -------
    list of Failure
    """
    rng = random.Random(seed)
    checks = [(name, check, make()) for name, (check, make) in DECODERS.items()]
    failures = []
    for number in range(inputs):
        name, check, samples = checks[number % len(checks)]
        try:
            check(rng, samples)
        except Exception as error:
            failures.append(Failure(name, number, repr(error)))
            if len(failures) >= MAX_REPORTED_FAILURES:
                break
    return failures


app = cyclopts.App(name="fuzz", help=__doc__)


@app.default
def main(
    *,
    inputs: Annotated[int, Parameter(help="Number of inputs.")] = 100_000,
    seed: Annotated[int, Parameter(help="Seed of the mutations.")] = 1,
):
    """Fuzz the decoders; exit with 1 if one of them failed."""
    failures = run(inputs, seed)
    for failure in failures[:MAX_REPORTED_FAILURES]:
        print(f"{failure.decoder}, input {failure.input_number}: {failure.error[:300]}")
    print(f"fuzz: {inputs} inputs, {len(failures)} failures")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    app()
