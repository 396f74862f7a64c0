#pragma once

#include "peer/generated/peer.pb.h"
#include "peer/messages.h"

namespace catkinmoor::peer_internal {

/// Each pair of functions converts a message to its wire format and back. FromWire drops malformed
/// records, such as a document text that does not decompress or exceeds the maximum document size.
void ToWire(const spread_request& from, wire::SpreadRequest& to);
void ToWire(const spread_reply& from, wire::SpreadReply& to);
void ToWire(const probe_request& from, wire::ProbeRequest& to);
void ToWire(const probe_reply& from, wire::ProbeReply& to);
void ToWire(const compare_request& from, wire::CompareRequest& to);
void ToWire(const compare_reply& from, wire::CompareReply& to);
void ToWire(const transfer_request& from, wire::TransferRequest& to);
void ToWire(const transfer_reply& from, wire::TransferReply& to);
void ToWire(const gather_request& from, wire::GatherRequest& to);
void ToWire(const gather_reply& from, wire::GatherReply& to);
void ToWire(const fence_request& from, wire::FenceRequest& to);
void ToWire(const fence_reply& from, wire::FenceReply& to);
void ToWire(const confirm_request& from, wire::ConfirmRequest& to);
void ToWire(const confirm_reply& from, wire::ConfirmReply& to);
void ToWire(const permit_ask& from, wire::PermitsRequest& to);
void ToWire(const permit_reply& from, wire::PermitsReply& to);

void ToWire(const rollout_report& from, wire::RolloutReport& to);
void ToWire(const rollout_report_reply& from, wire::RolloutReportReply& to);

void FromWire(const wire::RolloutReport& from, rollout_report& to);
void FromWire(const wire::RolloutReportReply& from, rollout_report_reply& to);
void FromWire(const wire::SpreadRequest& from, spread_request& to);
void FromWire(const wire::SpreadReply& from, spread_reply& to);
void FromWire(const wire::ProbeRequest& from, probe_request& to);
void FromWire(const wire::ProbeReply& from, probe_reply& to);
void FromWire(const wire::CompareRequest& from, compare_request& to);
void FromWire(const wire::CompareReply& from, compare_reply& to);
void FromWire(const wire::TransferRequest& from, transfer_request& to);
void FromWire(const wire::TransferReply& from, transfer_reply& to);
void FromWire(const wire::GatherRequest& from, gather_request& to);
void FromWire(const wire::GatherReply& from, gather_reply& to);
void FromWire(const wire::FenceRequest& from, fence_request& to);
void FromWire(const wire::FenceReply& from, fence_reply& to);
void FromWire(const wire::ConfirmRequest& from, confirm_request& to);
void FromWire(const wire::ConfirmReply& from, confirm_reply& to);
void FromWire(const wire::PermitsRequest& from, permit_ask& to);
void FromWire(const wire::PermitsReply& from, permit_reply& to);

}  // namespace catkinmoor::peer_internal
