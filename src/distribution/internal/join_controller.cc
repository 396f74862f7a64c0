#include "distribution/join_controller.h"

#include <algorithm>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr const char* kMeetingPrefix = "meet/";
constexpr std::size_t kMeetingRows = 200;
constexpr std::size_t kEnoughPeers = 3;
constexpr std::uint64_t kNewcomerSlots = 32;
constexpr std::uint64_t kSlotSeed = 6;
constexpr std::size_t kReaders = 2;
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kLongestPause{2'000};
constexpr milliseconds kProbeTimeout{1'000};

/// The row that a newcomer writes when it found nobody; a bounded number for each region.
std::string NewcomerSlot(const member_record& self) {
  const std::uint64_t slot = StableHash(self.vm, kSlotSeed) % kNewcomerSlots;
  return self.region + ".new." + std::to_string(slot);
}

}  // namespace

join_controller::join_controller(asio::io_context& context, distribution_board board,
                                 platform_client& platform, peer_client& peers,
                                 record_exchange& exchange, source_controller& source,
                                 distribution_settings settings, std::vector<endpoint> seeds,
                                 std::uint64_t seed)
    : context_(context),
      board_(board),
      platform_(platform),
      peers_(peers),
      exchange_(exchange),
      source_(source),
      settings_(std::move(settings)),
      seeds_(std::move(seeds)),
      random_(seed),
      timer_(context) {}

void join_controller::Stop() {
  stopping_ = true;
  asio::post(context_, [this] { timer_.cancel(); });
}

asio::awaitable<void> join_controller::Pause(milliseconds time) {
  timer_.expires_after(time);
  co_await timer_.async_wait(kAwait);
}

asio::awaitable<void> join_controller::Join() {
  const member_record self = board_.self.Get();
  // Peers that are met learn of this daemon by the comparison, which tells what its table holds.
  exchange_.StateSelf();
  milliseconds pause = kFirstPause;
  while (!stopping_) {
    auto points = co_await ReadMeetingPoints();
    const bool table_answered = Ok(points);
    std::vector<meeting_point> known;
    if (table_answered) known = std::move(Value(points));
    for (const endpoint& seed : seeds_) known.push_back({"", seed});
    std::size_t met = co_await MeetPeers(std::move(known));
    if (table_answered && met < kEnoughPeers) {
      // Of two daemons that start at one moment, each writes before it reads again, so that at
      // least one of them finds the other.
      co_await WriteMeetingPoint(NewcomerSlot(self));
      points = co_await ReadMeetingPoints();
      if (Ok(points)) met = co_await MeetPeers(std::move(Value(points)));
    }
    // A record that peers still hold from before the restart has been refuted by now.
    exchange_.StateSelf();
    const bool learnt = co_await LearnFloor(table_answered);
    if (learnt) {
      ready_ = true;
      logging::Info("joined", {{"peers", static_cast<std::int64_t>(met)}});
      co_return;
    }
    logging::Warning("not ready", {{"step", "join"}, {"peers", static_cast<std::int64_t>(met)}});
    co_await Pause(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

asio::awaitable<result<std::vector<join_controller::meeting_point>>>
join_controller::ReadMeetingPoints() {
  row_range range{kMeetingPrefix, "", kMeetingRows};
  auto rows = co_await platform_.Scan(std::move(range));
  if (!Ok(rows)) co_return Failure(rows);
  std::vector<meeting_point> points;
  for (const table_row& row : Value(rows)) {
    bj::error_code failed;
    const bj::value parsed = bj::parse(row.value, failed);
    const bj::object* object = failed ? nullptr : parsed.if_object();
    if (object == nullptr) continue;
    const bj::value* control = object->if_contains("control");
    const bj::value* data_centre = object->if_contains("data_centre");
    if (control == nullptr || !control->is_string()) continue;
    auto where = ParseEndpoint(control->as_string());
    if (!Ok(where)) continue;
    const bool named = data_centre != nullptr && data_centre->is_string();
    points.push_back({named ? std::string(data_centre->as_string()) : "", Value(where)});
  }
  co_return points;
}

asio::awaitable<void> join_controller::WriteMeetingPoint(std::string slot) {
  const member_record self = board_.self.Get();
  const std::string value = bj::serialize(
      bj::object{{"control", ToString(self.control)}, {"data_centre", self.data_centre}});
  std::vector<row_write> writes = {{kMeetingPrefix + slot, value, std::nullopt}};
  auto written = co_await platform_.Transact(std::move(writes));
  if (!Ok(written)) logging::Warning("meeting row not written", Failure(written));
}

asio::awaitable<std::size_t> join_controller::MeetPeers(std::vector<meeting_point> points) {
  const member_record self = board_.self.Get();
  const std::string own = self.data_centre;
  std::erase_if(points, [&](const meeting_point& each) { return each.control == self.control; });
  // Many newcomers at once must not all turn to the same members.
  std::shuffle(points.begin(), points.end(), random_);
  std::stable_partition(points.begin(), points.end(),
                        [&](const meeting_point& each) { return each.data_centre == own; });
  std::size_t met = 0;
  for (const meeting_point& each : points) {
    if (met >= kEnoughPeers || stopping_) break;
    const auto reconciled = co_await exchange_.ReconcileWith(each.control, each.data_centre);
    if (Ok(reconciled)) ++met;
  }
  co_return met;
}

asio::awaitable<std::size_t> join_controller::CountNeighboursInStep(
    std::vector<member_ptr> neighbours) {
  std::size_t in_step = 0;
  for (const member_ptr& each : neighbours) {
    if (stopping_) break;
    const probe_request probe{board_.self.Get().vm, exchange_.DocumentHash(),
                              exchange_.MemberHash(), ""};
    auto reply = co_await peers_.Probe(each->control, probe, kProbeTimeout);
    if (!Ok(reply)) continue;
    bool same = Value(reply).document_hash == exchange_.DocumentHash();
    if (!same) {
      const auto reconciled = co_await exchange_.Reconcile(*each);
      same = Ok(reconciled);
    }
    if (same) ++in_step;
  }
  co_return in_step;
}

asio::awaitable<bool> join_controller::LearnFloor(bool table_answered) {
  const member_record self = board_.self.Get();
  bool source_read = false;
  if (table_answered) {
    const auto caught_up = co_await source_.CatchUp();
    source_read = Ok(caught_up);
  }
  const auto neighbours = Successors(*board_.members.View(), self.data_centre, self.vm, SIZE_MAX);
  std::size_t in_step = 0;
  if (!source_read || !settings_.source_is_current) {
    in_step = co_await CountNeighboursInStep(neighbours);
  }
  const bool all_neighbours = !neighbours.empty() && in_step == neighbours.size();
  const bool most_neighbours = in_step * 2 >= neighbours.size();
  const bool source_suffices = source_read && (most_neighbours || settings_.source_is_current);
  if (!all_neighbours && !source_suffices) co_return false;
  // Whoever was asked holds these versions too, or this daemon is alone with the source.
  board_.documents.WitnessAll();
  co_return true;
}

asio::awaitable<void> join_controller::KeepMeetingPoint() {
  while (!stopping_) {
    co_await Pause(settings_.meeting_refresh);
    if (stopping_) co_return;
    const member_record self = board_.self.Get();
    const auto readers = Readers(*board_.members.View(), self.region, kReaders);
    for (std::size_t rank = 0; rank < readers.size(); ++rank) {
      if (readers[rank]->vm != self.vm) continue;
      co_await WriteMeetingPoint(self.region + "." + std::to_string(rank));
      // Daemons that started at the same moment may have found nobody; their rows join them up.
      auto points = co_await ReadMeetingPoints();
      if (!Ok(points)) break;
      for (const meeting_point& each : Value(points)) {
        if (each.control == self.control) continue;
        const auto met = co_await exchange_.ReconcileWith(each.control, each.data_centre);
        if (!Ok(met)) logging::Info("meeting point silent", {{"peer", ToString(each.control)}});
      }
    }
  }
}

}  // namespace catkinmoor
