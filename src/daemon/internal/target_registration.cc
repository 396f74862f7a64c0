#include "daemon/target_registration.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "framework/json/field_table.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;
using json::field;

constexpr double kMaxSlots = 100'000;
// A target waits about a second for its acknowledgement. The table and neighbours usually respond
// within milliseconds.
constexpr milliseconds kDepartureRecordTimeout{300};
constexpr milliseconds kDepartureReplicationTimeout{400};
constexpr milliseconds kRestoreRetryDelay{200};
constexpr milliseconds kMaxRestoreRetryDelay{5'000};

/// The JSON object that a target sends to announce itself.
struct announcement_body {
  std::string service;
  std::string instance;
  std::string address;
  json::string_map labels;
  std::string state = "ready";
  std::int64_t slots = 1;
  std::int64_t connections = 130;
};

using body_type = announcement_body;
const std::array<field<body_type>, 7> kFields = {{
    {"service", &body_type::service, "Service that the target belongs to.", true, 1},
    {"instance", &body_type::instance,
     "Name of this instance, different for each start of the target.", true, 1},
    {"address", &body_type::address, "Address on which the target listens, as address:port.", true,
     1},
    {"labels", &body_type::labels, "Labels of the target, such as its version."},
    {"state", &body_type::state, "State: starting, ready or leaving."},
    {"slots", &body_type::slots, "Number of requests that the target runs concurrently.", false, 1,
     kMaxSlots},
    {"connections", &body_type::connections, "Number of connections that the target accepts.",
     false, 1, kMaxSlots},
}};

std::optional<target_state> ParseState(const std::string& name) {
  for (const auto state : {target_state::kStarting, target_state::kReady, target_state::kLeaving}) {
    if (name == StateName(state)) return state;
  }
  return std::nullopt;
}

http::response Json(unsigned status, const bj::object& body) {
  return {status, {{"content-type", "application/json"}}, bj::serialize(body) + "\n"};
}

}  // namespace

std::variant<std::pair<endpoint, target_announcement>, json::problems> ParseAnnouncement(
    std::string_view text) {
  auto parsed = json::ParseWithComments(text);
  if (auto* failed = std::get_if<json::problems>(&parsed)) return *failed;
  announcement_body announcement;
  json::problems found;
  json::ReadObject<body_type>(std::get<bj::value>(parsed), "", kFields, announcement, found);
  const auto address = ParseEndpoint(announcement.address);
  const auto state = ParseState(announcement.state);
  if (!Ok(address)) json::AddProblem(found, "/address", "must be address:port");
  if (!state) json::AddProblem(found, "/state", "must be one of starting, ready, leaving");
  if (!found.empty()) return found;
  return std::pair(
      Value(address),
      target_announcement{announcement.service, announcement.instance, announcement.labels, *state,
                          static_cast<std::uint32_t>(announcement.slots),
                          static_cast<std::uint32_t>(announcement.connections), 0});
}

target_registration::target_registration(asio::io_context& context, self_record& self,
                                         record_exchange& exchange, gate_proxy& gate,
                                         departure_log& departures, milliseconds lease)
    : self_(self),
      exchange_(exchange),
      gate_(gate),
      departures_(departures),
      lease_(lease),
      timer_(context),
      restore_timer_(context) {}

asio::awaitable<http::response> target_registration::Handle(http::request message) {
  const bool is_announcement = message.method == "POST" && message.Path() == "/v1/target";
  if (!is_announcement) co_return Json(404, {{"error", "unknown operation; use POST /v1/target"}});
  auto parsed = ParseAnnouncement(message.body);
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    co_return Json(422, {{"error", json::FormatProblems(*problems)}});
  }
  auto& [address, target] = std::get<std::pair<endpoint, target_announcement>>(parsed);
  report_version version{target.instance, 0, 0};
  const bool is_leaving = target.state == target_state::kLeaving;
  const report_outcome outcome = ApplyReport({address, std::move(target), std::move(version)});
  if (is_leaving) co_await AwaitDepartureRecorded();
  if (outcome == report_outcome::kWithdrawn) {
    co_return Json(503, {{"error", "the daemon is stopping"}, {"active", gate_.ActiveRequests()}});
  }
  co_return Json(200, {{"lease_ms", lease_.count()}, {"active", gate_.ActiveRequests()}});
}

report_outcome target_registration::ApplyReport(const target_report& report) {
  if (withdrawn_) return report_outcome::kWithdrawn;
  if (!report_filter_.Accept(report.version)) {
    logging::Info("stale target report ignored",
                  {{"instance", report.version.instance},
                   {"sequence", static_cast<std::int64_t>(report.version.sequence)}});
    return report_outcome::kStale;
  }
  if (report.target.state == target_state::kLeaving && report.version.start_ms != 0) {
    const departed_target departure{report.version.instance, report.version.start_ms};
    departures_.Add(departure);
    PublishDeparture(departure);
  }
  RenewLease();
  if (!accepts_reports_) {
    held_report_ = report;
    return report_outcome::kAccepted;
  }
  target_announcement target = report.target;
  target.start_ms = report.version.start_ms;
  SetTarget(report.address, std::move(target));
  return report_outcome::kAccepted;
}

void target_registration::MarkDeparted(const std::string& instance, std::uint64_t start_ms) {
  logging::Info("target deregistered", {{"instance", instance}});
  EndStart(instance, start_ms);
  if (target_ && target_->instance == instance) RemoveTarget("departed");
}

void target_registration::MarkLeaving(const std::string& instance) {
  const bool is_current = target_ && target_->instance == instance;
  if (!is_current || target_->state == target_state::kLeaving) return;
  logging::Info("target stated in a response that it is leaving", {{"instance", instance}});
  target_announcement leaving = *target_;
  leaving.state = target_state::kLeaving;
  SetTarget(address_, std::move(leaving));
  EndStart(instance, 0);
  asio::co_spawn(timer_.get_executor(), AwaitDepartureRecorded(), asio::detached);
}

void target_registration::EndStart(const std::string& instance, std::uint64_t start_ms) {
  if (start_ms == 0) start_ms = report_filter_.StartTimeOf(instance);
  if (start_ms == 0) start_ms = UnixMilliseconds();
  report_filter_.MarkDeparted(instance, start_ms);
  departures_.Add({instance, start_ms});
  PublishDeparture({instance, start_ms});
}

void target_registration::PublishDeparture(const departed_target& departure) {
  if (self_.Get().departed == departure) return;
  self_.Update([&](member_record& record) { record.departed = departure; });
  exchange_.AnnounceSelf();
}

asio::awaitable<void> target_registration::AwaitDepartureRecorded() {
  const bool recorded = co_await departures_.AwaitRecorded(kDepartureRecordTimeout);
  if (recorded) co_return;
  const bool replicated = co_await exchange_.ReplicateSelf(kDepartureReplicationTimeout);
  if (replicated) co_return;
  logging::Warning(
      "target departure confirmed neither by the platform's table nor by a neighbour; after a "
      "restart this daemon may accept late reports of the target",
      {{"step", "record departure"}});
}

asio::awaitable<void> target_registration::RestoreDepartures(std::function<bool()> is_joined) {
  milliseconds delay = kRestoreRetryDelay;
  while (!withdrawn_) {
    auto recorded = co_await departures_.Read();
    if (Ok(recorded)) {
      for (const departed_target& each : Value(recorded)) RejectReportsOf(each);
      // Neighbours hold the latest departure in case the table does not respond at a later restart.
      if (!Value(recorded).empty() && !self_.Get().departed) {
        PublishDeparture(Value(recorded).back());
      }
      AcceptReports();
      co_return;
    }
    if (is_joined()) AcceptReports();
    // No report is held back any longer, so that the table need not be read soon.
    if (accepts_reports_) delay = std::min(delay * 2, kMaxRestoreRetryDelay);
    restore_timer_.expires_after(delay);
    co_await restore_timer_.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
  }
}

void target_registration::AcceptReports() {
  if (accepts_reports_) return;
  accepts_reports_ = true;
  const auto held = std::exchange(held_report_, std::nullopt);
  if (!held || withdrawn_ || report_filter_.HasDeparted(held->version)) return;
  target_announcement target = held->target;
  target.start_ms = held->version.start_ms;
  SetTarget(held->address, std::move(target));
}

void target_registration::RejectReportsOf(const departed_target& departure) {
  const auto& [instance, start_ms] = departure;
  report_filter_.MarkDeparted(instance, start_ms);
  logging::Info("target had departed before the daemon restarted; its late reports are ignored",
                {{"instance", instance}});
  const bool outdated_target = target_ && target_->state == target_state::kReady &&
                               target_->instance == instance &&
                               report_filter_.StartTimeOf(instance) <= start_ms;
  if (outdated_target) RemoveTarget("departed");
}

void target_registration::RestoreDeparture(const member_record& past) {
  if (!past.departed) return;
  RejectReportsOf(*past.departed);
  const member_record self = self_.Get();
  const bool is_of_predecessor = past.version.incarnation < self.version.incarnation;
  if (!self.departed && is_of_predecessor) PublishDeparture(*past.departed);
}

void target_registration::MarkUnreachable(const std::string& instance) {
  if (!target_ || target_->instance != instance || withdrawn_) return;
  RemoveTarget("unreachable");
}

void target_registration::SetTarget(const endpoint& address, target_announcement target) {
  const bool became_ready =
      target.state == target_state::kReady &&
      (!target_ || target_->instance != target.instance || target_->state != target_state::kReady);
  target.ready_at_ms = became_ready ? UnixMilliseconds() : target_ ? target_->ready_at_ms : 0;
  if (target_ == target && address_ == address) return;
  logging::Info("target state changed", {{"service", target.service},
                                         {"instance", target.instance},
                                         {"state", StateName(target.state)}});
  target_ = target;
  address_ = address;
  gate_.SetTarget(address, target);
  self_.Update([&](member_record& record) { record.target = target; });
  exchange_.AnnounceSelf();
}

void target_registration::RenewLease() {
  timer_.expires_after(lease_);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    RemoveTarget("silent");
  });
}

void target_registration::RemoveTarget(const char* reason) {
  held_report_.reset();
  if (!target_) return;
  logging::Warning("target removed; it gets no new requests",
                   {{"step", reason}, {"instance", target_->instance}});
  target_.reset();
  gate_.RemoveTarget();
  self_.Update([](member_record& record) { record.target.reset(); });
  exchange_.AnnounceSelf();
}

void target_registration::Withdraw() {
  withdrawn_ = true;
  timer_.cancel();
  if (!target_) return;
  target_->state = target_state::kLeaving;
  self_.Update([&](member_record& record) { record.target = target_; });
  exchange_.AnnounceSelf();
}

void target_registration::Stop() {
  timer_.cancel();
  restore_timer_.cancel();
  departures_.Stop();
}

}  // namespace catkinmoor
