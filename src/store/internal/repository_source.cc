#include "store/repository_source.h"

#include <boost/asio/use_awaitable.hpp>
#include <map>

namespace catkinmoor {

namespace asio = boost::asio;

asio::awaitable<result<source_update>> repository_source::FetchUpdate(std::uint64_t position,
                                                                      milliseconds /*wait*/) {
  auto last = co_await repository_.LastChangeNumber();
  if (!Ok(last)) co_return Failure(last);
  // A stale read returns a smaller number, which must not move the position back.
  if (Value(last) <= position) co_return source_update{position, {}};
  const bool full_read = position == 0;
  result<std::vector<document_change>> changes;
  if (full_read) {
    changes = co_await repository_.CurrentVersions();
  } else {
    changes = co_await repository_.ChangesAfter(position);
  }
  if (!Ok(changes)) co_return Failure(changes);
  if (Value(changes).empty()) co_return source_update{position, {}};
  std::uint64_t latest = full_read ? Value(last) : position;
  for (const document_change& each : Value(changes)) latest = std::max(latest, each.change);
  auto loaded = co_await LoadVersions(std::move(Value(changes)));
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
