"""One message of each kind that hosts send to each other, for tests and recordings."""

from bronzescale_core.membership import Rumor, Status
from bronzescale_core.objects import StoreObject
from bronzescale_core.positions import Position
from bronzescale_core.rendezvous import Node
from bronzescale_core.work import Outcome, Reach, Shape, Work, WorkAnswer, WorkStep
from bronzescale_proxy import wire

HOST = Node("n1", "10.0.0.1:7440", "a", "north", 5)
WORK = Work(
    service="s",
    upstream="d1",
    step=WorkStep.SINGLE,
    request_id="r1",
    text="READ x",
    is_write=False,
    is_read_only=False,
    values=(("who", "1"),),
    prepared_name="p1",
    prepared=Shape(True, "q2c"),
    floor=Position(3, 1_207),
    max_age_ms=1_500,
    transaction_id=7,
    priority=2,
    deadline_ms=800,
    customer="c1",
    route="records",
)
ANSWER = WorkAnswer(Outcome.DONE, Reach.ANSWERED, "", ("row",), "sig")
GRANT = wire.PermitReply(3, 300, 20, True, 15, 77, 12)
PERMIT_REQUEST = wire.PermitRequest("c1", 3, 1, 12, 2, "n1", 77, True, True)
MESSAGES = (
    WORK,
    ANSWER,
    GRANT,
    GRANT._replace(permits=-7),
    PERMIT_REQUEST,
    wire.Heartbeat("n1", 5, Status.ALIVE, 0, [Rumor(HOST, Status.DOWN)], (1, 2)),
    wire.Objects(-1, -1, [StoreObject("hosts", "n1", 7, {"address": "x"})]),
    wire.ObjectsRequest(0, ("hosts",)),
    wire.EvidenceRequest("s", 3),
    wire.EvidenceReply("n1", "a", 3, "down"),
    wire.HeadRequest("", 0),
    wire.HeadReply(Position(3, 7), ""),
    wire.Hello("n1", 5),
    wire.StateRequest("s"),
    wire.StateReply(True, StoreObject("groups", "s", 7, {"term": 2}), 1, ""),
    wire.StateReply(False, None, 0, "the store is down"),
    wire.EndTransaction("d1", 2**62),
    wire.Credit(3),
    wire.Cancel(is_caller_gone=True),
)
