"""Build the dump: the state of a process as a JSON document."""

from bronzescale_core.membership import Status
from bronzescale_proxy.clock import now_ms, wall_ms
from bronzescale_proxy.traces import to_plain


def build_dump(app):
    """Return the state of a process.

    Parameters
    ----------
    app : Application
        Application of this process.

    Returns
    -------
    dict
        JSON document; the dump reference describes its keys.
    """
    node = app.node
    settings = app.settings
    return {
        "node": settings.node,
        "zone": settings.zone,
        "region": settings.region,
        "now_ms": wall_ms(),
        "is_ready": app.is_ready(),
        "generation": node.declaration.generation if node.declaration else 0,
        "declaration_problem": node.declaration_problem,
        "revision": node.objects.revision,
        "store": _dump_store(app),
        "callers": {
            "address": f"{settings.caller_host}:{app.callers.port}",
            "open": app.callers.open_connections,
        },
        "members": [_dump_member(rumor) for rumor in node.membership.statuses()],
        "groups": [_dump_group(group) for group in node.groups()],
        "owners": [_dump_owner(owner) for owner in node.owners()],
        "retries": {
            "spent": app.dispatcher.budget.spent_total,
            "denied": app.dispatcher.budget.denied_total,
        },
        "counters": dict(app.metrics.counters),
        "timings": app.metrics.timings(),
    }


def _dump_store(app):
    return {
        "is_answering": app.disseminator.is_store_answering,
        "problem": app.disseminator.store_problem,
        "is_watcher": app.disseminator.is_watcher(),
        "calls": app.store.calls_total,
        "failures": app.store.failures_total,
    }


def _dump_member(rumor):
    return {
        "node": rumor.node.name,
        "zone": rumor.node.zone,
        "address": rumor.node.address,
        "admin_address": rumor.node.admin_address,
        "incarnation": rumor.node.incarnation,
        "status": Status(rumor.status).name.lower(),
    }


def _dump_group(group):
    state = group.state
    at_ms = now_ms()
    head = group.heads.newest()
    return {
        "service": state.service,
        "term": state.term,
        "primary": state.primary,
        "phase": state.phase.value,
        "version": state.version,
        "reason": state.reason,
        "step": group.step.value,
        "waiting_saves": group.waiting_writes,
        "head": to_plain(head) if head else None,
        "head_age_ms": at_ms - head.valid_at_ms if head else None,
        "copies": [_dump_copy(group, watch, at_ms) for watch in group.watches()],
        "steps": [
            {
                "ago_ms": at_ms - step_at_ms,
                "step": note.step.value,
                "text": note.text,
            }
            for step_at_ms, note in group.steps
        ],
    }


def _dump_copy(group, watch, now_ms):
    report = watch.report
    document = {
        "upstream": watch.upstream.name,
        "zone": watch.upstream.zone,
        "verdict": watch.finding().verdict.value,
        "evidence": watch.finding().reason,
        "probes": watch.probes_total,
    }
    if report is None:
        return document
    head = group.heads.newest()
    lag = max(0, head.position.offset - report.applied) if head else None
    return {
        **document,
        "role": report.role,
        "promised_term": report.promised_term,
        "log_term": report.log_term,
        "received": report.received,
        "applied": report.applied,
        "lag_entries": lag,
        "age_ms": group.heads.age_ms(report.applied_position, now_ms),
    }


def _dump_owner(owner):
    return {
        "upstream": owner.upstream.name,
        "connections": owner.pool.size,
        "opened": owner.pool.opened_total,
        "discarded": owner.pool.discarded_total,
        "slots": owner.queue.slots,
        "running": owner.queue.running,
        "queued": owner.queue.queued,
        "refused": owner.queue.refused_total,
        "service_time_ms": round(owner.queue.service_time_ms, 3),
        "open_transactions": owner.open_transactions,
    }
