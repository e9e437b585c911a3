"""Messages that proxies send to each other, besides statements and their answers."""

from typing import NamedTuple

from bronzescale_core.membership import Status
from bronzescale_core.objects import StoreObject
from bronzescale_core.positions import Position


class Heartbeat(NamedTuple):
    """Membership heartbeat, with a summary of the sender's state.

    Parameters
    ----------
    node : str
        Name of the sender; its addresses come from rumors and the platform's host list.
    incarnation : int
        Incarnation of the sender's process.
    status : Status
        Status of the sender.
    revision : int
        Newest store revision that the sender has.
    rumors : list of Rumor
        Statuses of other nodes to disseminate.
    digests : tuple of int
        Digest of the sender's objects of each kind; empty if it sends none.
    unreadable : tuple of UnreadableRumor
        Rumors that were left out when the heartbeat was decoded.
    """

    node: str
    incarnation: int
    status: Status
    revision: int
    rumors: list
    digests: tuple = ()
    unreadable: tuple = ()


class UnreadableRumor(NamedTuple):
    """What can be shown of a rumor that is not used, and why it is not."""

    name: str
    incarnation: int
    reason: str


class Hello(NamedTuple):
    """First message on an accepted connection; identifies the answering node.

    Parameters
    ----------
    node : str
        Name of the node.
    incarnation : int
        Incarnation of the node's process.
    """

    node: str
    incarnation: int


class FailureReport(NamedTuple):
    """Failure of a statement or request, sent in place of a result.

    The kinds ``behind``, ``full`` and ``failed`` mean that one attempt failed;
    ``progress`` then decides whether it may be repeated. Other kinds are final errors.
    """

    kind: str
    message: str
    code: int = 0
    sqlstate: str = ""
    retry_after_ms: int = 0
    progress: str = ""


class Credit(NamedTuple):
    """Flow control: allow the sender to send more parts of a result."""

    parts: int


class Cancel(NamedTuple):
    """Cancel a request that the requesting node no longer waits for."""

    is_caller_gone: bool


class EndTransaction(NamedTuple):
    """Roll back an open transaction whose caller has disconnected."""

    upstream: str
    transaction_id: int


class HeadRequest(NamedTuple):
    """Request the log head of the primary, sampled after the request arrives."""

    service: str
    deadline_ms: int


class HeadReply(NamedTuple):
    """Confirmed log head of the primary, or the reason why there is none."""

    position: Position | None
    reason: str


class EvidenceRequest(NamedTuple):
    """Request a node's verdict on the primary of a term."""

    service: str
    term: int


class EvidenceReply(NamedTuple):
    """A node's verdict on the primary of a term; empty if it does not watch it."""

    node: str
    zone: str
    term: int
    verdict: str


class StateRequest(NamedTuple):
    """Request the state of a group as a peer reads it from the store now."""

    service: str


class StateReply(NamedTuple):
    """State of a group as read from the store on behalf of another node.

    Parameters
    ----------
    is_read : bool
        Whether the store answered.
    item : StoreObject or None
        The group's object; None if the store has none or did not answer.
    era : int
        Era of the store that the peer knows.
    reason : str
        Why the store was not read.
    """

    is_read: bool
    item: StoreObject | None
    era: int
    reason: str


class PermitRequest(NamedTuple):
    """Request permits to run operations of a customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    wanted : int
        Permits that the requesting node can use, those that it needs included.
    unused : int
        Earlier permits that the requesting node did not use.
    configuration_version : int
        Version of the configuration that is in force at the requesting node.
    needed : int
        Operations that wait for a permit.
    node : str
        Name of the requesting node.
    period : int
        Period of the lessor's bucket in which the unused permits were granted.
    is_passed_over : bool
        Whether the nodes before it in rank did not answer or denied to be the lessor.
        A node that is not the lessor then grants from its provisional allowance.
    is_takeover : bool
        Whether the requesting node has become the lessor and asks for the bucket.
    asked_before : int
        Waiting operations for which the requesting node asked in vain and asks again.
    """

    customer: str
    wanted: int
    unused: int
    configuration_version: int
    needed: int = 0
    node: str = ""
    period: int = 0
    is_passed_over: bool = False
    is_takeover: bool = False
    asked_before: int = 0


class PermitReply(NamedTuple):
    """Permits to run operations of a customer.

    Parameters
    ----------
    permits : int
        Operations that may run. In the answer to a takeover: tokens of the bucket that
        is handed over; without one, those that are due since the node started.
    valid_until_ms : int
        When the permits expire, on the clock of the node that holds them.
    retry_after_ms : int
        Time after which a permit is expected; 0 if all that were needed were granted.
    is_lessor : bool
        Whether the answering node grants the customer's permits; in the answer to a
        takeover, whether it did until now.
    wait_ms : int
        Time after which the operations may run.
    period : int
        Period of the lessor's bucket in which the permits were granted.
    configuration_version : int
        Version of the configuration that is in force at the answering node.
    lessor : str
        If the answering node does not grant: the node that it takes as the lessor.
    """

    permits: int
    valid_until_ms: int
    retry_after_ms: int
    is_lessor: bool
    wait_ms: int = 0
    period: int = 0
    configuration_version: int = 0
    lessor: str = ""


class ObjectsRequest(NamedTuple):
    """Request objects changed after a revision; an empty ``kinds`` means every kind."""

    since: int
    kinds: tuple = ()


# `Objects.since` of the report of a check that found nothing. Older releases read it as
# a push without objects.
CHECK_REPORT = -2


class Objects(NamedTuple):
    """Store objects that changed between two revisions.

    Both revisions are -1 if the objects were pushed and may not be all that changed.
    """

    since: int
    revision: int
    objects: list
