"""Check every field of what a peer sent before anything uses it.

A frame that fails is refused as a whole: its connection ends, and its request counts as
one that was not answered. The decoder of frames ensures the types of fields, but any of
them may be missing, and numbers may have any value of 64 bits. Statements and their
answers are checked by comparisons, which fail on a missing number, since every
statement of the fleet passes here.
"""

from functools import singledispatch

from bronzescale_core.field_checks import (
    MAX_TIME_MS,
    MAX_WHOLE,
    is_amount,
    is_label,
    is_whole,
    require,
    require_text,
    require_whole,
)
from bronzescale_core.host_checks import MAX_INCARNATION
from bronzescale_core.statements import ResultPart, StatementRequest
from bronzescale_core.store_era import DIGEST_MASK
from bronzescale_core.work import NO_AGE_LIMIT, Work, WorkAnswer
from bronzescale_proxy import messages

MAX_TRANSACTION_ID = 2**63 - 1
# Far more operations than a fleet runs in the time for which permits are valid.
MAX_PERMITS = 1_000_000_000
# One for each priority, of which deployments use a few.
MAX_WAITS = 256


@singledispatch
def check_message(message, now_ms):
    """Raise `ValueError` or `TypeError` if a field of a message cannot be used.

    Parameters
    ----------
    message : NamedTuple
        A decoded message.
    now_ms : int
        Current time, from which its deadlines were computed.
    """
    raise TypeError(f"{type(message).__name__} has no check")


def _check_deadline(deadline_ms, now_ms):
    require(now_ms <= deadline_ms <= now_ms + MAX_TIME_MS, "the deadline", deadline_ms)


def _check_position(position):
    term, offset = position
    require(0 <= term <= MAX_WHOLE and 0 <= offset <= MAX_WHOLE, "position", position)


def _check_object(item):
    require_text("the kind of an object", item.kind)
    require_text("the name of an object", item.name)
    require_whole("the version of an object", item.version)


def _check_transaction(transaction_id):
    is_valid = 0 <= transaction_id <= MAX_TRANSACTION_ID
    require(is_valid, "the transaction", transaction_id)


@check_message.register
def _(message: messages.Heartbeat, now_ms):
    require(is_label(message.node), "the sender", message.node)
    require_whole("the incarnation", message.incarnation, 0, MAX_INCARNATION)
    for digest in message.digests:
        require_whole("a digest", digest, 0, DIGEST_MASK)


@check_message.register
def _(message: messages.Hello, now_ms):
    require(is_label(message.node), "the sender", message.node)
    require_whole("the incarnation", message.incarnation, 0, MAX_INCARNATION)


@check_message.register
def _(message: Work, now_ms):
    texts = (
        message.service,
        message.upstream,
        message.request_id,
        message.text,
        *(text for pair in message.values for text in pair),
    )
    require(None not in texts, "a text", texts)
    if message.prepared is not None:
        require_text("the shape", message.prepared.text)
    _check_position(message.floor)
    require(message.max_age_ms >= NO_AGE_LIMIT, "the age", message.max_age_ms)
    require(message.max_age_ms <= MAX_TIME_MS, "the age", message.max_age_ms)
    _check_transaction(message.transaction_id)
    require(message.priority is not None, "the priority", message.priority)
    _check_deadline(message.deadline_ms, now_ms)


@check_message.register
def _(message: WorkAnswer, now_ms):
    require(None not in message.rows, "a row", message.rows)
    require(message.signature is not None, "the signature", message.signature)
    _check_position(message.position)
    _check_transaction(message.transaction_id)
    numbers = (message.retry_after_ms, message.service_ms, *message.waits_ms)
    is_valid = all(0 <= number <= MAX_TIME_MS for number in numbers)
    require(is_valid and len(message.waits_ms) <= MAX_WAITS, "a time", numbers)
    require(is_amount(message.load), "the load", message.load)
    if message.ejected_until_ms:
        _check_deadline(message.ejected_until_ms, now_ms)


@check_message.register
def _(message: messages.PermitRequest, now_ms):
    require(is_label(message.customer), "the customer", message.customer)
    require_text("the host", message.node)
    for number in (message.wanted, message.unused, message.needed):
        require_whole("a number of permits", number, 0, MAX_PERMITS)
    require_whole("the number asked before", message.asked_before, 0, MAX_PERMITS)
    require_whole("the period", message.period)
    require_whole("the configuration", message.configuration_version)


@check_message.register
def _(message: messages.PermitReply, now_ms):
    # A bucket that is handed over may have granted tokens in advance.
    require_whole("the number of permits", message.permits, -MAX_PERMITS, MAX_PERMITS)
    for time_ms in (message.retry_after_ms, message.wait_ms):
        require_whole("a time", time_ms, 0, MAX_TIME_MS)
    _check_deadline(message.valid_until_ms, now_ms)
    require_text("the lessor", message.lessor)
    require_whole("the period", message.period)
    require_whole("the configuration", message.configuration_version)


@check_message.register
def _(message: messages.HeadRequest, now_ms):
    require_text("the service", message.service)
    _check_deadline(message.deadline_ms, now_ms)


@check_message.register
def _(message: messages.HeadReply, now_ms):
    if message.position is not None:
        _check_position(message.position)


@check_message.register
def _(message: messages.EvidenceRequest, now_ms):
    require_text("the service", message.service)
    require_whole("the term", message.term)


@check_message.register
def _(message: messages.EvidenceReply, now_ms):
    require(is_label(message.node), "the sender", message.node)
    require(is_label(message.zone), "the zone", message.zone)
    require_whole("the term", message.term)
    require_text("the verdict", message.verdict)


@check_message.register
def _(message: messages.ObjectsRequest, now_ms):
    require_whole("the revision", message.since)
    for kind in message.kinds:
        require_text("a kind", kind)


@check_message.register
def _(message: messages.Objects, now_ms):
    require_whole("the revision", message.since, messages.CHECK_REPORT)
    require_whole("the revision", message.revision, -1)
    for item in message.objects:
        _check_object(item)


@check_message.register
def _(message: messages.StateRequest, now_ms):
    require_text("the service", message.service)


@check_message.register
def _(message: messages.StateReply, now_ms):
    if message.item is not None:
        _check_object(message.item)
    require_whole("the era", message.era)


@check_message.register
def _(message: messages.EndTransaction, now_ms):
    require_text("the database", message.upstream)
    _check_transaction(message.transaction_id)


@check_message.register
def _(message: messages.Credit, now_ms):
    require(is_whole(message.parts, 0, MAX_PERMITS), "the credit", message.parts)


@check_message.register
def _(message: messages.Cancel, now_ms):
    """Its only field is a flag."""


@check_message.register
def _(message: messages.FailureReport, now_ms):
    require_text("the kind", message.kind)
    require_text("the message", message.message)
    require_whole("the time", message.retry_after_ms, 0, MAX_TIME_MS)


@check_message.register
def _(message: StatementRequest, now_ms):
    for text in (message.service, message.upstream, message.sql):
        require_text("a text", text)
    _check_position(message.floor)
    _check_transaction(message.transaction_id)
    _check_deadline(message.deadline_ms, now_ms)
    _check_deadline(message.wait_until_ms, now_ms)


@check_message.register
def _(message: ResultPart, now_ms):
    if message.end is not None:
        _check_position(message.end.position)
        _check_transaction(message.end.transaction_id)
