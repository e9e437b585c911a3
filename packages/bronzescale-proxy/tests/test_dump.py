"""The dump of a process's state."""

from types import SimpleNamespace

from bronzescale_core.failover_messages import NoteStep, Step
from bronzescale_core.groups import GroupState
from bronzescale_proxy.clock import now_ms
from bronzescale_proxy.dump import _dump_group


def test_steps_of_a_group_tell_how_long_ago_they_were():
    note = NoteStep("svc", Step.CLAIM, "claiming term 2")
    group = SimpleNamespace(
        state=GroupState("svc", 1, "a"),
        heads=SimpleNamespace(newest=lambda: None),
        step=Step.IDLE,
        waiting_writes=0,
        watches=list,
        steps=[(now_ms() - 5_000, note)],
    )
    (step,) = _dump_group(group)["steps"]
    assert step["ago_ms"] >= 5_000
