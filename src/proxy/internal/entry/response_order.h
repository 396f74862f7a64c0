#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace catkinmoor::proxy_internal {

/// Order of the responses on a caller's connection. Requests that arrive behind others may run at
/// the same time, but each is answered only after all before it. Once a response closes the
/// connection, or the caller has left, no further request gets its turn.
class response_order {
 public:
  using ticket = std::uint64_t;

  response_order(std::size_t max_requests, std::size_t max_bytes)
      : max_requests_(max_requests), max_bytes_(max_bytes) {}

  /// Adds the next request, with the size of what is held for it until it is answered.
  ticket Add(std::size_t bytes);

  /// Ends a request, whether it was answered or cancelled. With keep_open unset, its response
  /// closes the connection.
  void Finish(ticket finished, bool keep_open);

  /// Ends the turns of all requests that are not answered yet.
  void Close() { closed_ = true; }

  /// Whether all requests before this one are answered, and the connection stays open.
  bool IsTurn(ticket request) const;

  /// Whether requests have been added behind this one that are not answered yet.
  bool HasBehind(ticket request) const {
    return !unanswered_.empty() && unanswered_.rbegin()->first > request;
  }

  bool IsFinished(ticket request) const { return !unanswered_.contains(request); }

  /// Whether a further request may be read ahead.
  bool HasRoom() const {
    return !closed_ && unanswered_.size() < max_requests_ && bytes_ < max_bytes_;
  }

  /// What is held for all requests that are not answered yet.
  std::size_t Bytes() const { return bytes_; }

  bool IsEmpty() const { return unanswered_.empty(); }
  bool IsClosed() const { return closed_; }

 private:
  std::size_t max_requests_;
  std::size_t max_bytes_;
  /// Requests without a complete response, in their order, with their sizes.
  std::map<ticket, std::size_t> unanswered_;
  std::size_t bytes_ = 0;
  ticket next_ = 0;
  bool closed_ = false;
};

}  // namespace catkinmoor::proxy_internal
