"""Encode messages between proxies as Thrift frames and decode them."""

import json
import struct
import zlib
from functools import singledispatch

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from bronzescale_core.field_checks import MAX_TIME_MS
from bronzescale_core.host_checks import find_host_problem
from bronzescale_core.membership import Rumor, Status
from bronzescale_core.objects import StoreObject
from bronzescale_core.partial_json import limit_depth, unreadable_part
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
from bronzescale_proxy.messages import (
    Cancel,
    Credit,
    EndTransaction,
    EvidenceReply,
    EvidenceRequest,
    FailureReport,
    HeadReply,
    HeadRequest,
    Heartbeat,
    Hello,
    Objects,
    ObjectsRequest,
    PermitReply,
    PermitRequest,
    StateReply,
    StateRequest,
    UnreadableRumor,
)
from bronzescale_proxy.thrift_gen import ttypes as t
from bronzescale_proxy.wire_checks import check_message

# Each frame starts with the length of its payload.
HEADER = struct.Struct(">I")
# Largest frame accepted from a peer; also bounds what a compressed object may expand
# to. Without it, one corrupt length prefix could exhaust the process's memory.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# More than the hosts and databases of the largest fleet.
MAX_COMPRESSED_VALUES = 4_096
ZLIB_LEVEL = 6
# A step crosses the wire as its index, so the order of `WorkStep` is part of the
# protocol.
_STEPS = tuple(WorkStep)
_STATUSES = frozenset(Status)
# Characters of a name that a log line shows.
MAX_SHOWN_NAME = 80
_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=10_000_000
)


class _CompressedValues:
    """Compressed values of the objects that were sent or received last.

    A change is sent to many peers, and arrives from several. Compressing or parsing a
    large one takes milliseconds.
    """

    def __init__(self):
        self._known = {}

    def get(self, item):
        """Return an object's value as compressed JSON, a tenth of its plain size."""
        key = item.kind, item.name
        known = self._known.get(key)
        if known is not None and known[0] is item.value:
            return known[1]
        data = zlib.compress(json.dumps(item.value).encode(), ZLIB_LEVEL)
        self._keep(key, item.value, data)
        return data

    def load(self, kind, name, data):
        """Return the value of an object; the same one for the same bytes."""
        key = kind, name
        known = self._known.get(key)
        if known is not None and known[1] == data:
            return known[0]
        try:
            value = limit_depth(_decompress_json(data))
        except (ValueError, RecursionError, zlib.error) as error:
            # The other objects of the frame are readable.
            value = unreadable_part(f"a peer sent it: {type(error).__name__}")
        self._keep(key, value, data)
        return value

    def _keep(self, key, value, data):
        if len(self._known) >= MAX_COMPRESSED_VALUES:
            self._known.clear()
        self._known[key] = value, data


_COMPRESSED_VALUES = _CompressedValues()


def _decompress_json(data):
    """Decompress a JSON value, with a size limit against decompression bombs."""
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_FRAME_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"an object expands to more than {MAX_FRAME_BYTES} bytes")
    return json.loads(text)


def _to_wire_position(value):
    return t.WirePosition(value.term, value.offset)


def _time_left_ms(deadline_ms, now_ms):
    """Return the time until a deadline as peers accept it, from 0 to a day."""
    return min(max(0, deadline_ms - now_ms), MAX_TIME_MS)


def _to_wire_node(value):
    return t.WireNode(*value)


def _decode_node(value):
    return Node(
        value.name,
        value.address,
        value.zone,
        value.region,
        value.incarnation,
        value.admin_address or "",
    )


@singledispatch
def to_body(message, now_ms):
    """Return the Thrift union for a message.

    Parameters
    ----------
    message : NamedTuple
        A message of this module, `bronzescale_core.statements` or
        `bronzescale_core.work`.
    now_ms : int
        Current time. Clocks of two hosts differ, so a deadline crosses the wire as the
        time remaining.

    Returns
    -------
    Body
    """
    raise TypeError(f"{type(message).__name__} cannot be encoded as a peer message")


@to_body.register
def _(message: Heartbeat, now_ms):
    # `unreadable` is what this process left out; it is not sent on.
    rumors = [t.WireRumor(_to_wire_node(r.node), int(r.status)) for r in message.rumors]
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
        max_age_ms=min(message.consistency.max_age_ms, MAX_TIME_MS),
        floor=_to_wire_position(message.floor),
        remaining_ms=_time_left_ms(message.deadline_ms, now_ms),
        wait_ms=_time_left_ms(message.wait_until_ms, now_ms),
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
            position=_to_wire_position(end.position),
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
    remaining_ms = _time_left_ms(message.deadline_ms, now_ms)
    return t.Body(head_request=t.WireHeadRequest(message.service, remaining_ms))


@to_body.register
def _(message: HeadReply, now_ms):
    position = None if message.position is None else _to_wire_position(message.position)
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
def _(message: StateRequest, now_ms):
    return t.Body(state_request=t.WireStateRequest(message.service))


@to_body.register
def _(message: StateReply, now_ms):
    item = None if message.item is None else _to_wire_object(message.item)
    return t.Body(
        state_reply=t.WireStateReply(message.is_read, item, message.era, message.reason)
    )


@to_body.register
def _(message: Objects, now_ms):
    objects = [_to_wire_object(item) for item in message.objects]
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
        # In a transaction, the age at its BEGIN adds to that of the route.
        max_age_ms=min(message.max_age_ms, MAX_TIME_MS),
        needs_lead=message.needs_lead,
        transaction_id=message.transaction_id,
        priority=message.priority,
        remaining_ms=_time_left_ms(message.deadline_ms, now_ms),
        customer=message.customer or None,
        route=message.route or None,
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
        retry_after_ms=min(message.retry_after_ms, MAX_TIME_MS) or None,
        load=message.load,
        is_unreachable=message.is_unreachable or None,
        service_ms=min(int(message.service_ms), MAX_TIME_MS) or None,
        ejected_for_ms=max(0, message.ejected_until_ms - now_ms) or None,
        waits_ms=[min(wait_ms, MAX_TIME_MS) for wait_ms in message.waits_ms] or None,
    )
    return t.Body(answer=answer)


@to_body.register
def _(message: PermitRequest, now_ms):
    request = t.WirePermitRequest(
        customer=message.customer,
        wanted=message.wanted,
        unused=message.unused or None,
        configuration_version=message.configuration_version,
        needed=message.needed,
        node=message.node,
        period=message.period or None,
        is_passed_over=message.is_passed_over or None,
        is_takeover=message.is_takeover or None,
        asked_before=message.asked_before or None,
    )
    return t.Body(permit_request=request)


@to_body.register
def _(message: PermitReply, now_ms):
    reply = t.WirePermitReply(
        permits=message.permits,
        valid_ms=max(0, message.valid_until_ms - now_ms),
        retry_after_ms=min(message.retry_after_ms, MAX_TIME_MS),
        is_lessor=message.is_lessor,
        wait_ms=min(message.wait_ms, MAX_TIME_MS) or None,
        period=message.period or None,
        configuration_version=message.configuration_version,
        lessor=message.lessor or None,
    )
    return t.Body(permit_reply=reply)


def _decode_work(value, now_ms):
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
        customer=value.customer or "",
        route=value.route or "",
    )


def _decode_answer(value, now_ms):
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
        waits_ms=tuple(value.waits_ms or ()),
    )


def _decode_position(value):
    return Position(value.term, value.offset)


def _decode_heartbeat(value, now_ms):
    rumors = []
    unreadable = []
    for rumor in value.rumors:
        node = _decode_node(rumor.node)
        problem = find_host_problem(node)
        if problem is None and rumor.status not in _STATUSES:
            problem = f"its status is {rumor.status!r}"
        if problem is None:
            rumors.append(Rumor(node, Status(rumor.status)))
        else:
            name, incarnation = ascii(node.name)[:MAX_SHOWN_NAME], node.incarnation
            unreadable.append(UnreadableRumor(name, incarnation or 0, problem))
    return Heartbeat(
        value.node,
        value.incarnation,
        Status(value.status),
        value.revision,
        rumors,
        tuple(value.digests or ()),
        tuple(unreadable),
    )


def _decode_statement(value, now_ms):
    return StatementRequest(
        service=value.service_name,
        upstream=value.upstream,
        sql=value.sql,
        kind=StatementKind(value.kind),
        consistency=Consistency(ConsistencyMode(value.mode), value.max_age_ms),
        floor=_decode_position(value.floor),
        deadline_ms=now_ms + value.remaining_ms,
        wait_until_ms=now_ms + value.wait_ms,
        transaction_id=value.transaction_id,
        request_key=value.request_key,
        arrived_at_ms=now_ms,
    )


def _decode_part(value, now_ms):
    end = None
    if value.end is not None:
        end = ResultEnd(
            affected_rows=value.end.affected_rows,
            insert_id=value.end.insert_id,
            warnings=value.end.warnings,
            position=_decode_position(value.end.position),
            upstream=value.end.upstream,
            is_replica=value.end.is_replica,
            transaction_id=value.end.transaction_id,
        )
    return ResultPart(value.columns, value.rows, end)


def _decode_failure(value, now_ms):
    return FailureReport(
        value.kind,
        value.message,
        value.code,
        value.sqlstate,
        value.retry_after_ms,
        value.progress,
    )


def _decode_head_reply(value, now_ms):
    position = None if value.position is None else _decode_position(value.position)
    return HeadReply(position, value.reason)


def _decode_objects(value, now_ms):
    objects = [_decode_object(item) for item in value.objects]
    return Objects(value.since, value.revision, objects)


def _decode_state_reply(value, now_ms):
    item = None if value.item is None else _decode_object(value.item)
    return StateReply(bool(value.is_read), item, value.era or 0, value.reason or "")


def _to_wire_object(item):
    value = _COMPRESSED_VALUES.get(item)
    return t.WireObject(item.kind, item.name, item.version, value)


def _decode_object(value):
    document = _COMPRESSED_VALUES.load(value.kind, value.name, value.value_zlib)
    return StoreObject(value.kind, value.name, value.version, document)


def _decode_permit_request(value, now_ms):
    return PermitRequest(
        customer=value.customer,
        wanted=value.wanted,
        unused=value.unused or 0,
        configuration_version=value.configuration_version,
        needed=value.needed or 0,
        node=value.node or "",
        period=value.period or 0,
        is_passed_over=bool(value.is_passed_over),
        is_takeover=bool(value.is_takeover),
        asked_before=value.asked_before or 0,
    )


def _decode_permit_reply(value, now_ms):
    return PermitReply(
        permits=value.permits,
        valid_until_ms=now_ms + value.valid_ms,
        retry_after_ms=value.retry_after_ms,
        is_lessor=bool(value.is_lessor),
        wait_ms=value.wait_ms or 0,
        period=value.period or 0,
        configuration_version=value.configuration_version or 0,
        lessor=value.lessor or "",
    )


_DECODERS = {
    "work": _decode_work,
    "answer": _decode_answer,
    "heartbeat": _decode_heartbeat,
    "statement": _decode_statement,
    "part": _decode_part,
    "failure": _decode_failure,
    "credit": lambda value, now_ms: Credit(value.parts),
    "cancel": lambda value, now_ms: Cancel(value.is_caller_gone),
    "end_transaction": lambda value, now_ms: EndTransaction(
        value.upstream, value.transaction_id
    ),
    "head_request": lambda value, now_ms: HeadRequest(
        value.service_name, now_ms + value.remaining_ms
    ),
    "head_reply": _decode_head_reply,
    "evidence_request": lambda value, now_ms: EvidenceRequest(
        value.service_name, value.term
    ),
    "evidence_reply": lambda value, now_ms: EvidenceReply(
        value.node, value.zone, value.term, value.verdict
    ),
    "objects_request": lambda value, now_ms: ObjectsRequest(
        value.since, tuple(value.kinds or ())
    ),
    "objects": _decode_objects,
    "hello": lambda value, now_ms: Hello(value.node, value.incarnation),
    "state_request": lambda value, now_ms: StateRequest(value.service_name),
    "state_reply": _decode_state_reply,
    "permit_request": _decode_permit_request,
    "permit_reply": _decode_permit_reply,
}


def encode(request_id, message, now_ms):
    """Return a message as one frame.

    Parameters
    ----------
    request_id : int
        Request that the message belongs to, unique on its connection.
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
    """Decode the payload of one frame.

    Parameters
    ----------
    payload : bytes
        The frame without its length prefix.
    now_ms : int
        Current time.

    Returns
    -------
    request_id : int
    message : NamedTuple or None
        None if the message type is unknown, as from a newer release.

    Raises
    ------
    Exception
        Of many types if the payload is no frame, `ValueError` or `TypeError` if a field
        of the message cannot be used.
    """
    envelope = deserialize(t.Envelope(), payload, _PROTOCOL)
    body = envelope.body
    for name, decode_body in _DECODERS.items():
        value = getattr(body, name, None)
        if value is not None:
            message = decode_body(value, now_ms)
            check_message(message, now_ms)
            return envelope.request_id, message
    return envelope.request_id, None
