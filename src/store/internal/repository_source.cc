#include "store/repository_source.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <map>

namespace catkinmoor {

namespace asio = boost::asio;

asio::awaitable<result<source_update>> repository_source::FetchUpdate(std::uint64_t position,
                                                                      milliseconds /*wait*/) {
  auto last = co_await repository_.LastChangeNumber();
  if (!Ok(last)) co_return Failure(last);
  if (Value(last) < position) {
    // A stale read shows nothing about the present, and must not move the position back.
    co_return error{error_kind::kUnavailable, "read changes", "table",
                    "the last change is older than one read before"};
  }
  if (Value(last) == position) co_return source_update{position, {}};
  const bool full_read = position == 0;
  std::vector<document_change> changes;
  std::uint64_t latest = position;
  while (latest < Value(last)) {
    result<std::vector<document_change>> next;
    if (full_read) {
      next = co_await repository_.CurrentVersions();
    } else {
      next = co_await repository_.ChangesAfter(latest);
    }
    if (!Ok(next)) co_return Failure(next);
    const std::uint64_t before = latest;
    for (document_change& each : Value(next)) {
      latest = std::max(latest, each.change);
      changes.push_back(std::move(each));
    }
    const bool is_complete = latest >= Value(last);
    if (!is_complete && (full_read || latest == before)) {
      co_return error{
          error_kind::kUnavailable, "read changes", "table",
          "the changes end at " + std::to_string(latest) + " of " + std::to_string(Value(last))};
    }
  }
  auto loaded = co_await LoadVersions(std::move(changes));
  if (!Ok(loaded)) co_return Failure(loaded);
  co_return source_update{latest, std::move(Value(loaded))};
}

asio::awaitable<result<std::vector<document_version>>> repository_source::LoadVersions(
    std::vector<document_change> changes) {
  std::map<std::string, document_change> newest;
  for (document_change& each : changes) {
    document_change& entry = newest[each.service];
    if (each.version >= entry.version) entry = std::move(each);
  }
  std::vector<document_version> loaded;
  for (const auto& [service, change] : newest) {
    auto text = co_await repository_.LoadText(change.digest);
    std::string bytes;
    if (Ok(text)) {
      bytes = std::move(Value(text));
    } else if (Failure(text).kind != error_kind::kRefused) {
      co_return Failure(text);
    }
    // A text that does not match its digest is passed on as an empty one, so that the document
    // board records that it refused the version.
    loaded.push_back({service, change.version, change.change, change.digest, std::move(bytes)});
  }
  co_return loaded;
}

}  // namespace catkinmoor
