"""Turn core messages into thrift frames and back."""

import json
import struct
import zlib
from functools import singledispatch
from typing import NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from bronzescale_core.membership import Rumor, Status
from bronzescale_core.objects import StoreObject
from bronzescale_core.positions import Position
from bronzescale_core.rendezvous import Node
from bronzescale_core.statements import (
    Consistency,
    ConsistencyMode,
    ResultEnd,
    ResultPart,
    StatementKind,
    StatementRequest,
)
from bronzescale_core.work import Outcome, Reach, Shape, Work, WorkAnswer, WorkStep
from bronzescale_proxy.thrift_gen import ttypes as t

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 80 * 1024 * 1024
ZLIB_LEVEL = 6
_STEPS = tuple(WorkStep)
_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=10_000_000
)


class Heartbeat(NamedTuple):
    """A sign of life with what the sender knows.

    Parameters
    ----------
    node : str
        Name of the sender; rumors and the platform's list tell its addresses.
    incarnation : int
        Its start.
    status : Status
        Its own standing.
    revision : int
        Revision of the store's objects that it knows.
    rumors : list of Rumor
        Standings that it spreads.
    digests : tuple of int
        One number for what it knows of each kind of object; empty for none.
    """

    node: str
    incarnation: int
    status: Status
    revision: int
    rumors: list
    digests: tuple = ()


class Hello(NamedTuple):
    """First message of an accepted stream: who answers there.

    Parameters
    ----------
    node : str
        Name of the node.
    incarnation : int
        Its start.
    """

    node: str
    incarnation: int


class FailureReport(NamedTuple):
    """Why a statement or request got no ordinary answer."""

    kind: str
    message: str
    code: int = 0
    sqlstate: str = ""
    retry_after_ms: int = 0
    progress: str = ""


class Credit(NamedTuple):
    """The receiver can take more parts of an answer."""

    parts: int


class Cancel(NamedTuple):
    """The asker gave up on a request."""

    is_caller_gone: bool


class EndTransaction(NamedTuple):
    """The caller of an open transaction is gone."""

    upstream: str
    transaction_id: int


class HeadRequest(NamedTuple):
    """Ask for a head of the primary sampled after this request."""

    service: str
    deadline_ms: int


class HeadReply(NamedTuple):
    """A confirmed head, or why there is none."""

    position: Position | None
    reason: str


class EvidenceRequest(NamedTuple):
    """Ask what a node holds of the primary of a term."""

    service: str
    term: int


class EvidenceReply(NamedTuple):
    """What a node holds of the primary of a term."""

    node: str
    zone: str
    term: int
    verdict: str


class ObjectsRequest(NamedTuple):
    """Ask for the objects of some kinds changed after a revision; no kinds for all."""

    since: int
    kinds: tuple = ()


class Objects(NamedTuple):
    """Objects changed between two revisions."""

    since: int
    revision: int
    objects: list


def _pack_json(value):
    """Compress a JSON value; a declaration shrinks to a tenth."""
    return zlib.compress(json.dumps(value).encode(), ZLIB_LEVEL)


def _unpack_json(data):
    """Read a compressed JSON value, bounded against a hostile size."""
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(data, MAX_FRAME_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError(f"an object is larger than {MAX_FRAME_BYTES} bytes")
    return json.loads(text)


def _position(value):
    return t.WirePosition(value.term, value.offset)


def _node(value):
    return t.WireNode(*value)


def _load_node(value):
    return Node(
        value.name,
        value.address,
        value.zone,
        value.region,
        value.incarnation,
        value.admin_address,
    )


@singledispatch
def to_body(message, now_ms):
    """Return the thrift union for a message.

    Parameters
    ----------
    message : NamedTuple
        One of the messages of this module or of `bronzescale_core.statements`.
    now_ms : int
        Current time; deadlines cross the wire as the time left.

    Returns
    -------
    Body
    """
    raise TypeError(f"no wire form for {type(message).__name__}")


@to_body.register
def _(message: Heartbeat, now_ms):
    rumors = [t.WireRumor(_node(r.node), int(r.status)) for r in message.rumors]
    heartbeat = t.WireHeartbeat(
        message.node,
        message.incarnation,
        int(message.status),
        message.revision,
        rumors,
        list(message.digests) or None,
    )
    return t.Body(heartbeat=heartbeat)


@to_body.register
def _(message: StatementRequest, now_ms):
    statement = t.WireStatement(
        service_name=message.service,
        upstream=message.upstream,
        sql=message.sql,
        kind=message.kind.value,
        mode=message.consistency.mode.value,
        max_age_ms=message.consistency.max_age_ms,
        floor=_position(message.floor),
        remaining_ms=max(0, message.deadline_ms - now_ms),
        wait_ms=max(0, message.wait_until_ms - now_ms),
        transaction_id=message.transaction_id,
        request_key=message.request_key,
    )
    return t.Body(statement=statement)


@to_body.register
def _(message: ResultPart, now_ms):
    end = message.end
    wire_end = None
    if end is not None:
        wire_end = t.WireEnd(
            affected_rows=end.affected_rows,
            insert_id=end.insert_id,
            warnings=end.warnings,
            position=_position(end.position),
            upstream=end.upstream,
            is_replica=end.is_replica,
            transaction_id=end.transaction_id,
        )
    return t.Body(part=t.WirePart(message.columns, message.rows, wire_end))


@to_body.register
def _(message: Hello, now_ms):
    return t.Body(hello=t.WireHello(*message))


@to_body.register
def _(message: FailureReport, now_ms):
    return t.Body(failure=t.WireFailure(*message))


@to_body.register
def _(message: Credit, now_ms):
    return t.Body(credit=t.WireCredit(message.parts))


@to_body.register
def _(message: Cancel, now_ms):
    return t.Body(cancel=t.WireCancel(message.is_caller_gone))


@to_body.register
def _(message: EndTransaction, now_ms):
    return t.Body(end_transaction=t.WireEndTransaction(*message))


@to_body.register
def _(message: HeadRequest, now_ms):
    remaining_ms = max(0, message.deadline_ms - now_ms)
    return t.Body(head_request=t.WireHeadRequest(message.service, remaining_ms))


@to_body.register
def _(message: HeadReply, now_ms):
    position = None if message.position is None else _position(message.position)
    return t.Body(head_reply=t.WireHeadReply(position, message.reason))


@to_body.register
def _(message: EvidenceRequest, now_ms):
    return t.Body(evidence_request=t.WireEvidenceRequest(*message))


@to_body.register
def _(message: EvidenceReply, now_ms):
    return t.Body(evidence_reply=t.WireEvidenceReply(*message))


@to_body.register
def _(message: ObjectsRequest, now_ms):
    return t.Body(
        objects_request=t.WireObjectsRequest(message.since, list(message.kinds) or None)
    )


@to_body.register
def _(message: Objects, now_ms):
    objects = [
        t.WireObject(o.kind, o.name, o.version, _pack_json(o.value))
        for o in message.objects
    ]
    return t.Body(objects=t.WireObjects(message.since, message.revision, objects))


@to_body.register
def _(message: Work, now_ms):
    shape = message.prepared
    work = t.WireWork(
        service_name=message.service,
        upstream=message.upstream,
        step=_STEPS.index(message.step),
        request_id=message.request_id,
        text=message.text,
        is_write=message.is_write,
        is_read_only=message.is_read_only,
        session_values=[t.WireValue(*pair) for pair in message.values] or None,
        prepared_name=message.prepared_name or None,
        shape=None if shape is None else shape.text,
        is_shape_write=None if shape is None else shape.is_write,
        floor_term=message.floor.term,
        floor_offset=message.floor.offset,
        max_age_ms=message.max_age_ms,
        needs_lead=message.needs_lead,
        transaction_id=message.transaction_id,
        priority=message.priority,
        remaining_ms=max(0, message.deadline_ms - now_ms),
    )
    return t.Body(work=work)


@to_body.register
def _(message: WorkAnswer, now_ms):
    answer = t.WireAnswer(
        outcome=message.outcome.value,
        reach=message.reach.value,
        reason=message.reason or None,
        rows=list(message.rows) or None,
        signature=message.signature,
        term=message.position.term,
        offset=message.position.offset,
        transaction_id=message.transaction_id,
        retry_after_ms=message.retry_after_ms or None,
        load=message.load,
        is_unreachable=message.is_unreachable or None,
        service_ms=int(message.service_ms) or None,
        ejected_for_ms=max(0, message.ejected_until_ms - now_ms) or None,
    )
    return t.Body(answer=answer)


def _load_work(value, now_ms):
    shape = None
    if value.shape is not None:
        shape = Shape(bool(value.is_shape_write), value.shape)
    return Work(
        service=value.service_name,
        upstream=value.upstream,
        step=_STEPS[value.step],
        request_id=value.request_id,
        text=value.text,
        is_write=value.is_write,
        is_read_only=value.is_read_only,
        values=tuple((v.name, v.value) for v in value.session_values or ()),
        prepared_name=value.prepared_name or "",
        prepared=shape,
        floor=Position(value.floor_term, value.floor_offset),
        max_age_ms=value.max_age_ms,
        needs_lead=value.needs_lead,
        transaction_id=value.transaction_id,
        priority=value.priority,
        deadline_ms=now_ms + value.remaining_ms,
        received_at_ms=now_ms,
    )


def _load_answer(value, now_ms):
    return WorkAnswer(
        outcome=Outcome(value.outcome),
        reach=Reach(value.reach),
        reason=value.reason or "",
        rows=tuple(value.rows or ()),
        signature=value.signature,
        position=Position(value.term, value.offset),
        transaction_id=value.transaction_id,
        retry_after_ms=value.retry_after_ms or 0,
        load=value.load,
        service_ms=float(value.service_ms or 0),
        ejected_until_ms=now_ms + value.ejected_for_ms if value.ejected_for_ms else 0,
        is_unreachable=bool(value.is_unreachable),
    )


def _load_position(value):
    return Position(value.term, value.offset)


def _load_heartbeat(value, now_ms):
    rumors = [Rumor(_load_node(r.node), Status(r.status)) for r in value.rumors]
    return Heartbeat(
        value.node,
        value.incarnation,
        Status(value.status),
        value.revision,
        rumors,
        tuple(value.digests or ()),
    )


def _load_statement(value, now_ms):
    return StatementRequest(
        service=value.service_name,
        upstream=value.upstream,
        sql=value.sql,
        kind=StatementKind(value.kind),
        consistency=Consistency(ConsistencyMode(value.mode), value.max_age_ms),
        floor=_load_position(value.floor),
        deadline_ms=now_ms + value.remaining_ms,
        wait_until_ms=now_ms + value.wait_ms,
        transaction_id=value.transaction_id,
        request_key=value.request_key,
        arrived_at_ms=now_ms,
    )


def _load_part(value, now_ms):
    end = None
    if value.end is not None:
        end = ResultEnd(
            affected_rows=value.end.affected_rows,
            insert_id=value.end.insert_id,
            warnings=value.end.warnings,
            position=_load_position(value.end.position),
            upstream=value.end.upstream,
            is_replica=value.end.is_replica,
            transaction_id=value.end.transaction_id,
        )
    return ResultPart(value.columns, value.rows, end)


def _load_failure(value, now_ms):
    return FailureReport(
        value.kind,
        value.message,
        value.code,
        value.sqlstate,
        value.retry_after_ms,
        value.progress,
    )


def _load_head_reply(value, now_ms):
    position = None if value.position is None else _load_position(value.position)
    return HeadReply(position, value.reason)


def _load_objects(value, now_ms):
    objects = [
        StoreObject(o.kind, o.name, o.version, _unpack_json(o.value_zlib))
        for o in value.objects
    ]
    return Objects(value.since, value.revision, objects)


_LOADERS = {
    "work": _load_work,
    "answer": _load_answer,
    "heartbeat": _load_heartbeat,
    "statement": _load_statement,
    "part": _load_part,
    "failure": _load_failure,
    "credit": lambda value, now_ms: Credit(value.parts),
    "cancel": lambda value, now_ms: Cancel(value.is_caller_gone),
    "end_transaction": lambda value, now_ms: EndTransaction(
        value.upstream, value.transaction_id
    ),
    "head_request": lambda value, now_ms: HeadRequest(
        value.service_name, now_ms + value.remaining_ms
    ),
    "head_reply": _load_head_reply,
    "evidence_request": lambda value, now_ms: EvidenceRequest(
        value.service_name, value.term
    ),
    "evidence_reply": lambda value, now_ms: EvidenceReply(
        value.node, value.zone, value.term, value.verdict
    ),
    "objects_request": lambda value, now_ms: ObjectsRequest(
        value.since, tuple(value.kinds or ())
    ),
    "objects": _load_objects,
    "hello": lambda value, now_ms: Hello(value.node, value.incarnation),
}


def encode(request_id, message, now_ms):
    """Return one frame.

    Parameters
    ----------
    request_id : int
        Names the request that the message belongs to.
    message : NamedTuple
        The message.
    now_ms : int
        Current time.

    Returns
    -------
    bytes
    """
    envelope = t.Envelope(request_id, to_body(message, now_ms))
    payload = serialize(envelope, _PROTOCOL)
    return HEADER.pack(len(payload)) + payload


def decode(payload, now_ms):
    """Read the payload of one frame.

    Parameters
    ----------
    payload : bytes
        The frame without its length.
    now_ms : int
        Current time.

    Returns
    -------
    request_id : int
    message : NamedTuple or None
        None for a message that only a newer release knows.
    """
    envelope = deserialize(t.Envelope(), payload, _PROTOCOL)
    body = envelope.body
    for name, load in _LOADERS.items():
        value = getattr(body, name, None)
        if value is not None:
            return envelope.request_id, load(value, now_ms)
    return envelope.request_id, None
