#include "daemon/target_registration.h"

#include <array>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "framework/json/field_table.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;
using json::field;

constexpr double kMostSlots = 100'000;
// A target waits about a second for its acknowledgement; neighbours answer within milliseconds.
constexpr milliseconds kSettleTime{400};

/// The form in which a target announces itself.
struct announcement_form {
  std::string service;
  std::string instance;
  std::string address;
  json::text_map labels;
  std::string state = "ready";
  std::int64_t slots = 1;
  std::int64_t connections = 130;
};

using form = announcement_form;
const std::array<field<form>, 7> kFields = {{
    {"service", &form::service, "Service that the target belongs to.", true, 1},
    {"instance", &form::instance, "Name of this start of the target.", true, 1},
    {"address", &form::address, "Where it listens, as address:port.", true, 1},
    {"labels", &form::labels, "Labels, such as its version."},
    {"state", &form::state, "starting, ready or leaving."},
    {"slots", &form::slots, "Requests it runs at once.", false, 1, kMostSlots},
    {"connections", &form::connections, "Connections it takes.", false, 1, kMostSlots},
}};

std::optional<target_state> ParseState(const std::string& name) {
  for (const auto state : {target_state::kStarting, target_state::kReady, target_state::kLeaving}) {
    if (name == StateName(state)) return state;
  }
  return std::nullopt;
}

http::reply Json(unsigned status, const bj::object& body) {
  return {status, {{"content-type", "application/json"}}, bj::serialize(body) + "\n"};
}

}  // namespace

std::variant<std::pair<endpoint, target_announcement>, json::problems> ParseAnnouncement(
    std::string_view text) {
  auto parsed = json::ParseWithComments(text);
  if (auto* failed = std::get_if<json::problems>(&parsed)) return *failed;
  announcement_form given;
  json::problems found;
  json::ReadObject<form>(std::get<bj::value>(parsed), "", kFields, given, found);
  const auto where = ParseEndpoint(given.address);
  const auto state = ParseState(given.state);
  if (!Ok(where)) json::Report(found, "/address", "must be address:port");
  if (!state) json::Report(found, "/state", "must be one of starting, ready, leaving");
  if (!found.empty()) return found;
  return std::pair(Value(where),
                   target_announcement{given.service, given.instance, given.labels, *state,
                                       static_cast<std::uint32_t>(given.slots),
                                       static_cast<std::uint32_t>(given.connections), 0});
}

target_registration::target_registration(asio::io_context& context, self_record& self,
                                         record_exchange& exchange, gate_proxy& gate,
                                         milliseconds lease)
    : self_(self), exchange_(exchange), gate_(gate), lease_(lease), timer_(context) {}

asio::awaitable<http::reply> target_registration::Answer(http::request message) {
  const bool announces = message.method == "POST" && message.Path() == "/v1/target";
  if (!announces) co_return Json(404, {{"error", "POST /v1/target is the only operation"}});
  auto parsed = ParseAnnouncement(message.body);
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    co_return Json(422, {{"error", json::Describe(*problems)}});
  }
  auto& [where, target] = std::get<std::pair<endpoint, target_announcement>>(parsed);
  report_stamp stamp{target.instance, 0, 0};
  const bool leaves = target.state == target_state::kLeaving;
  const report_outcome outcome = Announce({where, std::move(target), std::move(stamp)});
  if (leaves) co_await SettleDeparture();
  if (outcome == report_outcome::kWithdrawn) {
    co_return Json(503, {{"error", "the daemon is stopping"}, {"active", gate_.Active()}});
  }
  co_return Json(200, {{"lease_ms", lease_.count()}, {"active", gate_.Active()}});
}

report_outcome target_registration::Announce(const target_report& report) {
  if (withdrawn_) return report_outcome::kWithdrawn;
  if (!order_.Take(report.stamp)) {
    logging::Info("target report outdated",
                  {{"instance", report.stamp.instance},
                   {"sequence", static_cast<std::int64_t>(report.stamp.sequence)}});
    return report_outcome::kOutdated;
  }
  SetTarget(report.where, report.target);
  if (report.target.state == target_state::kLeaving && report.stamp.born_ms != 0) {
    StateDeparted(report.stamp.instance, report.stamp.born_ms);
  }
  Renew();
  return report_outcome::kTaken;
}

void target_registration::Depart(const std::string& instance, std::uint64_t born_ms) {
  if (born_ms == 0) born_ms = order_.BornOf(instance);
  if (born_ms == 0) born_ms = WallMilliseconds();
  order_.Depart(instance, born_ms);
  logging::Info("target departed", {{"instance", instance}});
  StateDeparted(instance, born_ms);
  if (present_ && present_->instance == instance) ForgetTarget("departed");
}

void target_registration::StateDeparted(const std::string& instance, std::uint64_t born_ms) {
  const departed_target departed{instance, born_ms};
  if (self_.Get().departed == departed) return;
  self_.Update([&](member_record& record) { record.departed = departed; });
  exchange_.StateSelf();
}

asio::awaitable<void> target_registration::SettleDeparture() {
  const bool shared = co_await exchange_.ShareSelf(kSettleTime);
  if (!shared) logging::Warning("departure not shared", {{"step", "settle departure"}});
}

void target_registration::Recall(const member_record& past) {
  if (!past.departed) return;
  const auto& [instance, born_ms] = *past.departed;
  order_.Depart(instance, born_ms);
  const member_record self = self_.Get();
  if (self.departed || past.version.incarnation >= self.version.incarnation) return;
  logging::Info("target departed before the restart", {{"instance", instance}});
  StateDeparted(instance, born_ms);
  const bool believed = present_ && present_->state == target_state::kReady &&
                        present_->instance == instance && order_.BornOf(instance) <= born_ms;
  if (believed) ForgetTarget("departed");
}

void target_registration::NoteUnreachable(const std::string& instance) {
  if (!present_ || present_->instance != instance || withdrawn_) return;
  ForgetTarget("unreachable");
}

void target_registration::SetTarget(const endpoint& where, target_announcement target) {
  const bool became_ready =
      target.state == target_state::kReady && (!present_ || present_->instance != target.instance ||
                                               present_->state != target_state::kReady);
  target.ready_at_ms = became_ready ? WallMilliseconds() : present_ ? present_->ready_at_ms : 0;
  if (present_ == target && where_ == where) return;
  logging::Info("target", {{"service", target.service},
                           {"instance", target.instance},
                           {"state", StateName(target.state)}});
  present_ = target;
  where_ = where;
  gate_.SetTarget(where, target);
  self_.Update([&](member_record& record) { record.target = target; });
  exchange_.StateSelf();
}

void target_registration::Renew() {
  timer_.expires_after(lease_);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    ForgetTarget("silent");
  });
}

void target_registration::ForgetTarget(const char* reason) {
  if (!present_) return;
  logging::Warning("target lost", {{"step", reason}, {"instance", present_->instance}});
  present_.reset();
  gate_.RemoveTarget();
  self_.Update([](member_record& record) { record.target.reset(); });
  exchange_.StateSelf();
}

void target_registration::Withdraw() {
  withdrawn_ = true;
  timer_.cancel();
  if (!present_) return;
  present_->state = target_state::kLeaving;
  self_.Update([&](member_record& record) { record.target = present_; });
  exchange_.StateSelf();
}

void target_registration::Stop() { timer_.cancel(); }

}  // namespace catkinmoor
