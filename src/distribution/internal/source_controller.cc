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
constexpr milliseconds kMaxRetryDelay{8'000};

}  // namespace

source_controller::source_controller(asio::io_context& context, distribution_dependencies deps,
                                     document_source& source, record_exchange& exchange,
                                     spread_strategy& strategy, distribution_settings settings,
                                     std::uint64_t seed)
    : deps_(deps),
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
  bool was_reader = false;
  milliseconds delay = settings_.source_poll_interval;
  while (!stopping_) {
    const bool is_reader = strategy_.ReadsSource(*deps_.members.View(), deps_.self.Get());
    if (is_reader != was_reader) {
      logging::Info(is_reader ? "this daemon reads the source" : "other daemons read the source",
                    {{"position", Position()}});
      was_reader = is_reader;
    }
    const bool long_polls = source_.SupportsLongPolling() && is_reader && !failing;
    if (!long_polls) {
      std::uniform_int_distribution<std::int64_t> percent(80, 120);
      timer_.expires_after(delay * percent(random_) / 100);
      co_await timer_.async_wait(kAwait);
    }
    if (stopping_) co_return;
    delay = settings_.source_poll_interval;
    if (!is_reader) continue;
    const auto read = co_await ReadOnce(settings_.source_long_poll_wait);
    if (Ok(read)) {
      if (failing) logging::Info("source readable again", {{"position", Position()}});
      failing = false;
      continue;
    }
    deps_.metrics.IncrementCounter("catkinmoor_source_failures_total");
    logging::Warning("source read failed; next read delayed", Failure(read));
    failing = true;
    delay = std::min(delay * 2, kMaxRetryDelay);
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
  deps_.metrics.IncrementCounter("catkinmoor_source_reads_total");
  const std::uint64_t previous = position_;
  auto update = co_await source_.FetchUpdate(previous, wait);
  if (!Ok(update)) co_return Failure(update);
  OfferAndSpread(std::move(Value(update).documents));
  position_ = std::max(position_.load(), Value(update).position);
  co_return position_ > previous;
}

void source_controller::OfferAndSpread(std::vector<document_version> documents) {
  std::vector<document_version> updates;
  for (document_version& each : documents) {
    if (deps_.documents.Offer(each, false) != offer_outcome::kNewer) continue;
    logging::Info("newer document version received and held",
                  {{"from", "source"},
                   {"service", each.service},
                   {"version", static_cast<std::int64_t>(each.version)}});
    updates.push_back(std::move(each));
  }
  if (!updates.empty()) exchange_.SpreadDocuments(std::move(updates), spread_range::kRegion);
}

}  // namespace catkinmoor
