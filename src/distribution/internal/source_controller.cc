#include "distribution/source_controller.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr milliseconds kLongestPause{8'000};

}  // namespace

source_controller::source_controller(asio::io_context& context, distribution_board board,
                                     document_repository& repository, record_exchange& exchange,
                                     spread_strategy& strategy, distribution_settings settings,
                                     std::uint64_t seed)
    : board_(board),
      repository_(repository),
      exchange_(exchange),
      strategy_(strategy),
      settings_(std::move(settings)),
      context_(context),
      random_(seed),
      timer_(context) {}

void source_controller::Stop() {
  stopping_ = true;
  asio::post(context_, [this] { timer_.cancel(); });
}

asio::awaitable<void> source_controller::Run() {
  milliseconds pause = settings_.source_poll;
  while (!stopping_) {
    std::uniform_int_distribution<std::int64_t> percent(80, 120);
    timer_.expires_after(pause * percent(random_) / 100);
    co_await timer_.async_wait(kAwait);
    if (stopping_) co_return;
    pause = settings_.source_poll;
    if (!strategy_.ReadsSource(*board_.members.View(), board_.self.Get())) continue;
    auto caught_up = co_await CatchUp();
    if (Ok(caught_up)) continue;
    board_.metrics.Count("catkinmoor_source_failures_total");
    logging::Warning("source not read", Failure(caught_up));
    pause = std::min(pause * 2, kLongestPause);
  }
}

asio::awaitable<result<std::uint64_t>> source_controller::CatchUp() {
  for (;;) {
    board_.metrics.Count("catkinmoor_source_reads_total");
    auto last = co_await repository_.LastChange();
    if (!Ok(last)) co_return Failure(last);
    // A source that answers from the past names a smaller number, which changes nothing.
    if (Value(last) <= seen_change_) co_return seen_change_.load();
    const bool first = seen_change_ == 0;
    result<std::vector<document_change>> changes;
    if (first) {
      changes = co_await repository_.Current();
    } else {
      changes = co_await repository_.ChangesAfter(seen_change_);
    }
    if (!Ok(changes)) co_return Failure(changes);
    if (Value(changes).empty()) co_return seen_change_.load();
    std::uint64_t reached = first ? Value(last) : seen_change_.load();
    for (const document_change& each : Value(changes)) reached = std::max(reached, each.change);
    auto loaded = co_await Load(std::move(Value(changes)));
    if (!Ok(loaded)) co_return Failure(loaded);
    seen_change_ = reached;
    if (reached >= Value(last)) co_return reached;
  }
}

asio::awaitable<result<done>> source_controller::Load(std::vector<document_change> changes) {
  std::map<std::string, document_change> newest;
  for (document_change& each : changes) {
    document_change& entry = newest[each.service];
    if (each.version >= entry.version) entry = std::move(each);
  }
  std::vector<document_version> news;
  for (const auto& [service, change] : newest) {
    const auto held = board_.documents.Held(service);
    if (held != nullptr && held->source.version >= change.version) continue;
    auto text = co_await repository_.LoadText(change.digest);
    std::string bytes;
    if (Ok(text)) {
      bytes = std::move(Value(text));
    } else if (Failure(text).kind != error_kind::kRefused) {
      co_return Failure(text);
    }
    // A text that does not match its digest is offered too, so that the board notes its refusal.
    const document_version version{service, change.version, change.change, change.digest,
                                   std::move(bytes)};
    if (board_.documents.Offer(version, false) == offer_outcome::kNews) news.push_back(version);
  }
  exchange_.SpreadDocuments(std::move(news), spread_reach::kRegion);
  co_return done{};
}

}  // namespace catkinmoor
