#include "distribution/source_controller.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <algorithm>

#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr milliseconds kLongestPause{8'000};

}  // namespace

source_controller::source_controller(asio::io_context& context, distribution_board board,
                                     document_source& source, record_exchange& exchange,
                                     spread_strategy& strategy, distribution_settings settings,
                                     std::uint64_t seed)
    : board_(board),
      source_(source),
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
  bool failing = false;
  milliseconds pause = settings_.source_poll;
  while (!stopping_) {
    const bool reads = strategy_.ReadsSource(*board_.members.View(), board_.self.Get());
    const bool holds = source_.HoldsCalls() && reads && !failing;
    if (!holds) {
      std::uniform_int_distribution<std::int64_t> percent(80, 120);
      timer_.expires_after(pause * percent(random_) / 100);
      co_await timer_.async_wait(kAwait);
    }
    if (stopping_) co_return;
    pause = settings_.source_poll;
    if (!reads) continue;
    const auto read = co_await ReadOnce(settings_.source_wait);
    if (Ok(read)) {
      if (failing) logging::Info("source regained", {{"position", Position()}});
      failing = false;
      continue;
    }
    board_.metrics.Count("catkinmoor_source_failures_total");
    logging::Warning("source not read", Failure(read));
    failing = true;
    pause = std::min(pause * 2, kLongestPause);
  }
}

std::int64_t source_controller::Position() const { return static_cast<std::int64_t>(position_); }

asio::awaitable<result<std::uint64_t>> source_controller::CatchUp() {
  for (;;) {
    const auto read = co_await ReadOnce(milliseconds(0));
    if (!Ok(read)) co_return Failure(read);
    if (!Value(read)) co_return position_.load();
  }
}

asio::awaitable<result<bool>> source_controller::ReadOnce(milliseconds wait) {
  board_.metrics.Count("catkinmoor_source_reads_total");
  const std::uint64_t before = position_;
  auto update = co_await source_.Await(before, wait);
  if (!Ok(update)) co_return Failure(update);
  Offer(std::move(Value(update).documents));
  position_ = std::max(position_.load(), Value(update).position);
  co_return position_ > before;
}

void source_controller::Offer(std::vector<document_version> documents) {
  std::vector<document_version> news;
  for (document_version& each : documents) {
    if (board_.documents.Offer(each, false) != offer_outcome::kNews) continue;
    logging::Info("document learnt", {{"from", "source"},
                                      {"service", each.service},
                                      {"version", static_cast<std::int64_t>(each.version)}});
    news.push_back(std::move(each));
  }
  if (!news.empty()) exchange_.SpreadDocuments(std::move(news), spread_reach::kRegion);
}

}  // namespace catkinmoor
