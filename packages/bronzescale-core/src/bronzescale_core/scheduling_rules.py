"""Name the rules of a scheduler, and why it refuses a statement."""

from enum import Enum
from typing import NamedTuple


class RefusalReason(Enum):
    """Why a statement was refused; the value is the text for the caller."""

    FULL = "the queue is full"
    LATE = "it cannot be answered in time"
    DISPLACED = "more urgent statements took its place"
    EXPIRED = "its deadline has passed"


class Rules(NamedTuple):
    """Rules of a scheduler; comparisons switch single ones off.

    Parameters
    ----------
    orders_by_priority : bool
        Whether more urgent statements go first.
    shares_fairly : bool
        Whether customers get fair shares within a priority.
    learns_kinds : bool
        Whether work is estimated for each kind of statement.
    keeps_target : bool
        Whether statements are ordered, and refused on arrival, by the time at which
        their answers become late rather than by their deadlines.
    skips_hopeless : bool
        Whether a statement that cannot end in time gives way to others.
    protects_less_urgent : bool
        Whether less urgent statements get a small share.
    expects_urgent : bool
        Whether the expected wait allows for more urgent statements still to come.
    displaces : bool
        Whether a more urgent statement takes a place in a full queue.
    """

    orders_by_priority: bool = True
    shares_fairly: bool = True
    learns_kinds: bool = True
    keeps_target: bool = True
    skips_hopeless: bool = True
    protects_less_urgent: bool = True
    expects_urgent: bool = True
    displaces: bool = True
