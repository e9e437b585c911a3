"""Define the events that a failover machine takes and the actions that it returns."""

from enum import Enum
from typing import NamedTuple

from bronzescale_core.acknowledgement import CopyReport
from bronzescale_core.detection import Verdict
from bronzescale_core.groups import GroupState


class Step(Enum):
    """Current step of a change of primary."""

    IDLE = "idle"
    EVIDENCE = "evidence"
    CLAIM = "claim"
    DRAIN = "drain"
    CATCH_UP = "catch_up"
    FENCE = "fence"
    PROMOTE = "promote"
    PUBLISH = "publish"


class PrimaryFinding(NamedTuple):
    """Event: this node's own verdict on the primary."""

    verdict: Verdict
    reason: str


class EvidenceReceived(NamedTuple):
    """Event: another node's verdict on the primary of a term."""

    node: str
    zone: str
    term: int
    verdict: Verdict


class GroupObserved(NamedTuple):
    """Event: a version of the group object was read or received."""

    state: GroupState


class ClaimWritten(NamedTuple):
    """Event: a conditional update took effect and gave the object this version."""

    nonce: str
    version: int


class ClaimFailed(NamedTuple):
    """Event: a conditional update failed, or its outcome is unknown."""

    nonce: str
    reason: str


class CopyFenced(NamedTuple):
    """Event: a copy promised the term and reported its position."""

    report: CopyReport


class CopyPromoted(NamedTuple):
    """Event: the chosen copy became the primary of the term."""

    report: CopyReport
    term_start: int


class CopyFailed(NamedTuple):
    """Event: an order to a copy failed."""

    upstream: str
    term: int
    reason: str


class CopyCaughtUp(NamedTuple):
    """Event: a copy has the log up to the awaited offset."""

    upstream: str
    term: int


class PlannedChange(NamedTuple):
    """Event: an operator requested that a copy become the primary."""

    upstream: str
    reason: str


class Tick(NamedTuple):
    """Event: time passed."""


class AskEvidence(NamedTuple):
    """Action: ask the other watchers for their verdicts on the primary."""

    service: str
    term: int


class WriteGroup(NamedTuple):
    """Action: update the group object if it is still at ``if_version``."""

    state: GroupState
    if_version: int


class FenceCopy(NamedTuple):
    """Action: make a copy promise a term."""

    upstream: str
    term: int


class AwaitCopy(NamedTuple):
    """Action: wait until a copy, not yet fenced, has the log up to an offset."""

    upstream: str
    term: int
    offset: int


class PromoteCopy(NamedTuple):
    """Action: make a fenced copy the primary of a term."""

    upstream: str
    term: int


class FollowCopy(NamedTuple):
    """Action: make a copy replicate from the primary of a term."""

    upstream: str
    term: int
    primary: str


class PublishGroup(NamedTuple):
    """Action: send the new state to the other nodes immediately."""

    state: GroupState


class NoteStep(NamedTuple):
    """Action: record a step in the log and the dump."""

    service: str
    step: Step
    text: str
