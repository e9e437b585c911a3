// Messages between bronzescale proxies. Each frame holds one Envelope in the compact
// protocol, after its length as a 4-byte big-endian number.
// Regenerate with: make thrift

struct WireNode {
  1: string name,
  2: string address,
  3: string zone,
  4: string region,
  5: i64 incarnation,
  6: string admin_address,
}

struct WireRumor {
  1: WireNode node,
  2: i32 status,
}

struct WireHeartbeat {
  1: string node,
  2: i64 incarnation,
  3: i32 status,
  4: i64 revision,
  5: list<WireRumor> rumors,
  6: list<i64> digests,
}

struct WirePosition {
  1: i64 term,
  2: i64 offset,
}

struct WireStatement {
  1: string service_name,
  2: string upstream,
  3: string sql,
  4: string kind,
  5: string mode,
  6: i64 max_age_ms,
  7: WirePosition floor,
  8: i64 remaining_ms,
  9: i64 wait_ms,
  10: i64 transaction_id,
  11: string request_key,
}

struct WireEnd {
  1: i64 affected_rows,
  2: i64 insert_id,
  3: i32 warnings,
  4: WirePosition position,
  5: string upstream,
  6: bool is_replica,
  7: i64 transaction_id,
}

struct WirePart {
  1: list<binary> columns,
  2: list<binary> rows,
  3: optional WireEnd end,
}

struct WireFailure {
  1: string kind,
  2: string message,
  3: i32 code,
  4: string sqlstate,
  5: i64 retry_after_ms,
  6: string progress,
}

struct WireCredit {
  1: i32 parts,
}

struct WireCancel {
  1: bool is_caller_gone,
}

struct WireEndTransaction {
  1: string upstream,
  2: i64 transaction_id,
}

struct WireHeadRequest {
  1: string service_name,
  2: i64 remaining_ms,
}

struct WireHeadReply {
  1: optional WirePosition position,
  2: string reason,
}

struct WireEvidenceRequest {
  1: string service_name,
  2: i64 term,
}

struct WireEvidenceReply {
  1: string node,
  2: string zone,
  3: i64 term,
  4: string verdict,
}

struct WireObject {
  1: string kind,
  2: string name,
  3: i64 version,
  4: binary value_zlib,
}

struct WireObjectsRequest {
  1: i64 since,
  2: list<string> kinds,
}

struct WireObjects {
  1: i64 since,
  2: i64 revision,
  3: list<WireObject> objects,
}

struct WireHello {
  1: string node,
  2: i64 incarnation,
}

struct WireValue {
  1: string name,
  2: string value,
}

struct WireWork {
  1: string service_name,
  2: string upstream,
  3: i32 step,
  4: string request_id,
  5: string text,
  6: bool is_write,
  7: bool is_read_only,
  8: list<WireValue> session_values,
  9: string prepared_name,
  10: string shape,
  11: i64 floor_term,
  12: i64 floor_offset,
  13: i64 max_age_ms,
  14: bool needs_lead,
  15: i64 transaction_id,
  16: i32 priority,
  17: i64 remaining_ms,
  18: bool is_shape_write,
  19: string customer,
  20: string route,
}

struct WireAnswer {
  1: string outcome,
  2: string reach,
  3: string reason,
  4: list<string> rows,
  5: string signature,
  6: i64 term,
  7: i64 offset,
  8: i64 transaction_id,
  9: i64 retry_after_ms,
  10: double load,
  11: bool is_unreachable,
  12: i32 service_ms,
  13: i32 ejected_for_ms,
  14: list<i32> waits_ms,
}

struct WirePermitRequest {
  1: string customer,
  2: i32 wanted,
  3: i32 unused,
  4: i64 configuration_version,
  5: i32 needed,
  6: string node,
  7: i64 period,
  8: bool is_passed_over,
  9: bool is_takeover,
  10: i32 asked_before,
}

struct WirePermitReply {
  1: i32 permits,
  2: i32 valid_ms,
  3: i32 retry_after_ms,
  4: bool is_lessor,
  5: i32 wait_ms,
  6: i64 period,
  7: i64 configuration_version,
  8: string lessor,
}

struct WireStateRequest {
  1: string service_name,
}

struct WireStateReply {
  1: bool is_read,
  2: optional WireObject item,
  3: i64 era,
  4: string reason,
}

union Body {
  1: WireHeartbeat heartbeat,
  2: WireStatement statement,
  3: WirePart part,
  4: WireFailure failure,
  5: WireCredit credit,
  6: WireCancel cancel,
  7: WireEndTransaction end_transaction,
  8: WireHeadRequest head_request,
  9: WireHeadReply head_reply,
  10: WireEvidenceRequest evidence_request,
  11: WireEvidenceReply evidence_reply,
  12: WireObjectsRequest objects_request,
  13: WireObjects objects,
  14: WireHello hello,
  15: WireWork work,
  16: WireAnswer answer,
  17: WirePermitRequest permit_request,
  18: WirePermitReply permit_reply,
  19: WireStateRequest state_request,
  20: WireStateReply state_reply,
}

struct Envelope {
  1: i64 request_id,
  2: Body body,
}
