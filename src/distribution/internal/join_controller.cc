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
constexpr const char* kRendezvousPrefix = "meet/";
constexpr std::size_t kMaxRendezvousRecords = 200;
constexpr std::size_t kSufficientPeers = 3;
constexpr std::uint64_t kNewcomerRecordsPerRegion = 32;
constexpr std::uint64_t kNewcomerRecordHashSeed = 6;
constexpr std::size_t kReadersPerRegion = 2;
constexpr milliseconds kInitialBackoff{100};
constexpr milliseconds kMaxBackoff{2'000};
constexpr milliseconds kProbeTimeout{1'000};

/// Name of the rendezvous record that a newcomer writes when it found too few peers. The number of
/// such records is bounded for each region.
std::string NewcomerRecordName(const member_record& self) {
  const std::uint64_t number =
      StableHash(self.vm, kNewcomerRecordHashSeed) % kNewcomerRecordsPerRegion;
  return self.region + ".new." + std::to_string(number);
}

}  // namespace

join_controller::join_controller(asio::io_context& context, distribution_dependencies deps,
                                 platform_client& platform, peer_client& peers,
                                 record_exchange& exchange, source_controller& source,
                                 distribution_settings settings, std::vector<endpoint> seeds,
                                 std::uint64_t seed)
    : context_(context),
      deps_(deps),
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

asio::awaitable<void> join_controller::Sleep(milliseconds duration) {
  timer_.expires_after(duration);
  co_await timer_.async_wait(kAwait);
}

asio::awaitable<void> join_controller::Join() {
  const member_record self = deps_.self.Get();
  // Peers learn of this daemon by comparing member tables, so its table must hold its own record
  // before any peer is contacted.
  exchange_.AnnounceSelf();
  milliseconds backoff = kInitialBackoff;
  while (!stopping_) {
    auto records = co_await ReadRendezvousRecords();
    const bool table_available = Ok(records);
    std::vector<rendezvous_record> candidates;
    if (table_available) candidates = std::move(Value(records));
    for (const endpoint& seed : seeds_) candidates.push_back({"", seed});
    std::size_t contacted = co_await ContactPeers(std::move(candidates));
    if (table_available && contacted < kSufficientPeers) {
      // Of two daemons that start at the same time, each writes before it reads again, so that at
      // least one of them finds the other.
      co_await WriteRendezvousRecord(NewcomerRecordName(self));
      records = co_await ReadRendezvousRecords();
      if (Ok(records)) contacted = co_await ContactPeers(std::move(Value(records)));
    }
    // By now any record of this daemon that peers still held from before the restart has been
    // refuted; announce the resulting version.
    exchange_.AnnounceSelf();
    const bool learnt = co_await LearnVersionsInForce(table_available);
    if (learnt) {
      ready_ = true;
      logging::Info("joined the fleet", {{"peers", static_cast<std::int64_t>(contacted)}});
      co_return;
    }
    logging::Warning("could not join the fleet; not ready, retrying",
                     {{"step", "join"}, {"peers", static_cast<std::int64_t>(contacted)}});
    co_await Sleep(backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

asio::awaitable<result<std::vector<join_controller::rendezvous_record>>>
join_controller::ReadRendezvousRecords() {
  row_range range{kRendezvousPrefix, "", kMaxRendezvousRecords};
  auto rows = co_await platform_.Scan(std::move(range));
  if (!Ok(rows)) co_return Failure(rows);
  std::vector<rendezvous_record> records;
  for (const table_row& row : Value(rows)) {
    bj::error_code parse_error;
    const bj::value parsed = bj::parse(row.value, parse_error);
    const bj::object* object = parse_error ? nullptr : parsed.if_object();
    if (object == nullptr) continue;
    const bj::value* control = object->if_contains("control");
    const bj::value* data_centre = object->if_contains("data_centre");
    if (control == nullptr || !control->is_string()) continue;
    auto address = ParseEndpoint(control->as_string());
    if (!Ok(address)) continue;
    const bool has_data_centre = data_centre != nullptr && data_centre->is_string();
    records.push_back(
        {has_data_centre ? std::string(data_centre->as_string()) : "", Value(address)});
  }
  co_return records;
}

asio::awaitable<void> join_controller::WriteRendezvousRecord(std::string name) {
  const member_record self = deps_.self.Get();
  const std::string value = bj::serialize(
      bj::object{{"control", ToString(self.control)}, {"data_centre", self.data_centre}});
  std::vector<row_write> writes = {{kRendezvousPrefix + name, value, std::nullopt}};
  auto written = co_await platform_.Transact(std::move(writes));
  if (!Ok(written)) logging::Warning("rendezvous record not written", Failure(written));
}

asio::awaitable<std::size_t> join_controller::ContactPeers(std::vector<rendezvous_record> records) {
  const member_record self = deps_.self.Get();
  const std::string own = self.data_centre;
  std::erase_if(records,
                [&](const rendezvous_record& each) { return each.control == self.control; });
  // Shuffled so that many newcomers do not all contact the same members.
  std::shuffle(records.begin(), records.end(), random_);
  std::stable_partition(records.begin(), records.end(),
                        [&](const rendezvous_record& each) { return each.data_centre == own; });
  std::size_t contacted = 0;
  for (const rendezvous_record& each : records) {
    if (contacted >= kSufficientPeers || stopping_) break;
    const auto reconciled = co_await exchange_.ReconcileWith(each.control, each.data_centre);
    if (Ok(reconciled)) ++contacted;
  }
  co_return contacted;
}

asio::awaitable<std::size_t> join_controller::CountNeighboursInSync(
    std::vector<member_ptr> neighbours) {
  std::size_t in_sync = 0;
  for (const member_ptr& each : neighbours) {
    if (stopping_) break;
    const probe_request probe{deps_.self.Get().vm, exchange_.DocumentHash(), exchange_.MemberHash(),
                              "", each->vm};
    auto reply = co_await peers_.Probe(each->control, probe, kProbeTimeout);
    if (!Ok(reply) || !Value(reply).reached) continue;
    bool same = Value(reply).document_hash == exchange_.DocumentHash();
    if (!same) {
      const auto reconciled = co_await exchange_.Reconcile(*each);
      same = Ok(reconciled);
    }
    if (same) ++in_sync;
  }
  co_return in_sync;
}

asio::awaitable<bool> join_controller::LearnVersionsInForce(bool table_available) {
  const member_record self = deps_.self.Get();
  bool source_read = false;
  if (table_available) {
    const auto caught_up = co_await source_.CatchUp();
    source_read = Ok(caught_up);
  }
  const auto neighbours = Successors(*deps_.members.View(), self.data_centre, self.vm, SIZE_MAX);
  std::size_t in_sync = 0;
  if (!source_read || !settings_.source_is_authoritative) {
    in_sync = co_await CountNeighboursInSync(neighbours);
  }
  const bool all_in_sync = !neighbours.empty() && in_sync == neighbours.size();
  const bool half_in_sync = in_sync * 2 >= neighbours.size();
  const bool source_suffices = source_read && (half_in_sync || settings_.source_is_authoritative);
  if (!all_in_sync && !source_suffices) co_return false;
  // The neighbours asked hold these versions too, or the source alone is sufficient.
  deps_.documents.PutAllInForce();
  co_return true;
}

asio::awaitable<void> join_controller::MaintainRendezvousRecord() {
  while (!stopping_) {
    co_await Sleep(settings_.rendezvous_refresh_interval);
    if (stopping_) co_return;
    const member_record self = deps_.self.Get();
    const auto readers = Readers(*deps_.members.View(), self.region, kReadersPerRegion);
    for (std::size_t rank = 0; rank < readers.size(); ++rank) {
      if (readers[rank]->vm != self.vm) continue;
      co_await WriteRendezvousRecord(self.region + "." + std::to_string(rank));
      // Daemons that started at the same time may have found no peers. Reconciling with the daemons
      // of all records connects them to the fleet.
      auto records = co_await ReadRendezvousRecords();
      if (!Ok(records)) break;
      for (const rendezvous_record& each : Value(records)) {
        if (each.control == self.control) continue;
        const auto reconciled = co_await exchange_.ReconcileWith(each.control, each.data_centre);
        if (!Ok(reconciled))
          logging::Info("rendezvous peer did not respond; skipped",
                        {{"peer", ToString(each.control)}});
      }
    }
  }
}

}  // namespace catkinmoor
