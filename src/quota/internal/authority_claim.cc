#include "quota/authority_claim.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "framework/base/digest.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;

constexpr std::size_t kMaxSentWrites = 8;
/// A daemon on a weak vm claims the row only if none on a stronger one has.
constexpr milliseconds kWeakVmDelay{2'000};
constexpr std::uint64_t kDelaySpreadMs = 300;
constexpr std::uint64_t kCandidateSeed = 0x71756f7461;

std::uint64_t ReadNumber(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  if (value == nullptr) return 0;
  bj::error_code parse_error;
  const auto number = value->to_number<std::uint64_t>(parse_error);
  return parse_error ? 0 : number;
}

bool ReadFlag(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

}  // namespace

std::string SerializeAuthorityRow(const authority_row& row) {
  bj::object object{{"vm", row.vm},           {"incarnation", row.incarnation},
                    {"epoch", row.epoch},     {"renewal", row.renewal},
                    {"settled", row.settled}, {"released", row.released}};
  if (row.era) object["era"] = *row.era;
  if (!row.control.empty()) object["control"] = row.control;
  return bj::serialize(object);
}

std::optional<authority_row> ParseAuthorityRow(std::string_view text) {
  bj::error_code parse_error;
  const bj::value parsed = bj::parse({text.data(), text.size()}, parse_error);
  const bj::object* object = parse_error ? nullptr : parsed.if_object();
  if (object == nullptr) return std::nullopt;
  const bj::value* vm = object->if_contains("vm");
  if (vm == nullptr || !vm->is_string()) return std::nullopt;
  authority_row row{std::string(vm->as_string()), ReadNumber(*object, "incarnation"),
                    ReadNumber(*object, "epoch"), ReadNumber(*object, "renewal"),
                    ReadFlag(*object, "settled"), ReadFlag(*object, "released")};
  if (object->contains("era")) row.era = ReadNumber(*object, "era");
  const bj::value* control = object->if_contains("control");
  if (control != nullptr && control->is_string()) row.control = std::string(control->as_string());
  return row;
}

void authority_claim::OnRead(const std::optional<authority_row>& row, std::uint64_t revision,
                             std::optional<std::uint64_t> era, boot_time_point sent_at,
                             boot_time_point now) {
  const bool seen_before = read_sent_at_ && now - *read_sent_at_ <= kMaxReadGap;
  if (!seen_before || row != row_ || revision != revision_ || era != era_) unchanged_since_ = now;
  read_sent_at_ = sent_at;
  row_ = row;
  revision_ = revision;
  era_ = era;
  if (!row) return;
  highest_epoch_ = std::max(highest_epoch_, row->epoch);
  if (IsMine(*row)) {
    ConfirmWrite(*row, sent_at, now);
  } else if (held_ && row->epoch >= held_->epoch) {
    // Another daemon has claimed the row. A row of an earlier epoch comes from a store that went
    // back, and is written again while the lease lasts.
    held_.reset();
  }
}

void authority_claim::ConfirmWrite(const authority_row& row, boot_time_point read_sent_at,
                                   boot_time_point now) {
  const auto found = std::find_if(sent_.begin(), sent_.end(),
                                  [&](const sent_write& each) { return each.row == row; });
  if (found == sent_.end() || now >= found->sent_at + kAuthorityLease) return;
  if (!found->seen_at) found->seen_at = now;
  const bool is_held = held_ && held_->epoch == row.epoch;
  if (!is_held) {
    // Without an era, the claim must have been visible to the reads of all others that watch.
    if (!row.era && read_sent_at < *found->seen_at + kMaxReadGap) return;
    if (row.released || (held_ && held_->epoch > row.epoch)) return;
    held_ = row;
    claimed_at_ = found->sent_at;
    predecessor_settled_ = found->predecessor_settled;
    lease_end_ = found->sent_at + kAuthorityLease;
    return;
  }
  lease_end_ = std::max(lease_end_, found->sent_at + kAuthorityLease);
}

bool authority_claim::MayClaim(boot_time_point now) const {
  if (!read_sent_at_ || now - *read_sent_at_ > kMaxReadGap) return false;
  if (row_ && era_ && row_->era == era_) {
    // The row is that of this daemon, from before its start or from before its lease ended: nobody
    // else has claimed it, and a claim by another one would change the revision.
    const bool is_own = row_->vm == vm_ && row_->incarnation <= incarnation_;
    if (row_->released || is_own) return true;
  }
  return now - unchanged_since_ >= kAuthorityVacancy + delay_;
}

std::optional<authority_claim::row_claim> authority_claim::NextWrite(bool settled,
                                                                     boot_time_point now) {
  if (held_ && now >= lease_end_) held_.reset();
  authority_row row{vm_, incarnation_, 0, 0, false, false, era_, control_};
  bool predecessor_settled = true;
  if (held_) {
    row.epoch = held_->epoch;
    row.renewal = ++held_->renewal;
    row.settled = settled;
  } else if (MayClaim(now)) {
    row.epoch = ++highest_epoch_;
    predecessor_settled = !row_ || row_->settled;
  } else {
    return std::nullopt;
  }
  sent_.push_back({row, now, predecessor_settled});
  if (sent_.size() > kMaxSentWrites) sent_.pop_front();
  return row_claim{row, revision_};
}

std::optional<authority_claim::row_claim> authority_claim::Release() {
  if (!held_) return std::nullopt;
  authority_row row = *held_;
  ++row.renewal;
  row.released = true;
  row.era = era_;
  held_.reset();
  return row_claim{row, revision_};
}

milliseconds ClaimDelay(const std::string& vm, double processor_share) {
  const milliseconds by_share =
      processor_share >= kStrongProcessorShare ? milliseconds(0) : kWeakVmDelay;
  return by_share + milliseconds(StableHash(vm) % kDelaySpreadMs);
}

bool WatchesAsStrong(const std::string& vm, double processor_share, std::size_t daemons) {
  constexpr std::size_t kDaemonsPerStep = 64;
  if (processor_share < kStrongProcessorShare) return false;
  return StableHash(vm, kCandidateSeed) % (daemons / kDaemonsPerStep + 1) == 0;
}

std::vector<std::string> AuthorityCandidates(std::vector<std::string> present) {
  const auto weight = [](const std::string& name) { return StableHash(name, kCandidateSeed); };
  const std::size_t count = std::min(kAuthorityCandidates, present.size());
  std::partial_sort(present.begin(), present.begin() + static_cast<std::ptrdiff_t>(count),
                    present.end(), [&](const std::string& left, const std::string& right) {
                      return weight(left) > weight(right);
                    });
  present.resize(count);
  return present;
}

}  // namespace catkinmoor
