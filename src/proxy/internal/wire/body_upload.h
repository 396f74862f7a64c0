#pragma once

#include <boost/asio/steady_timer.hpp>

#include "proxy/internal/http_stream.h"

namespace catkinmoor::proxy_internal {

/// A request's body that is streamed in a coroutine of its own, so that the response can be read
/// and passed on meanwhile. The connections and the parser must outlive the upload: its owner waits
/// for Finish or Stop before it destroys any of them.
class body_upload : public std::enable_shared_from_this<body_upload> {
 public:
  body_upload(connection& from, request_parser& parser, connection& to,
              milliseconds progress_timeout);

  /// Starts sending the header and the body.
  void Start();

  /// Starts sending only the body, whose beginning has been read already.
  void StartBody(std::string prefix);

  bool IsDone() const { return done_; }

  /// Whether the whole body has been sent. Only then the connection can be used again.
  bool IsComplete() const { return done_ && outcome_ == transfer_outcome::kComplete; }

  transfer_outcome Outcome() const { return outcome_; }

  /// When the last byte of the body was sent, or the upload failed.
  time_point DoneAt() const { return done_at_; }

  /// Sets a callback that runs when the upload ends, or at once if it has ended. Null removes it.
  void OnDone(std::function<void()> callback);

  /// Waits for the end of the upload as long as it makes progress, at most until the deadline, and
  /// then stops it.
  asio::awaitable<void> Finish(milliseconds max_pause, time_point deadline);

  /// Closes the connection to the server if the upload is not complete, and waits for its end.
  asio::awaitable<void> Stop();

 private:
  void End(transfer_outcome outcome);
  static asio::awaitable<void> Run(std::shared_ptr<body_upload> self);
  static asio::awaitable<void> RunBody(std::shared_ptr<body_upload> self, std::string prefix);

  connection& from_;
  request_parser& parser_;
  connection& to_;
  milliseconds progress_timeout_;
  asio::steady_timer ended_;
  std::uint64_t bytes_ = 0;
  bool done_ = false;
  transfer_outcome outcome_ = transfer_outcome::kComplete;
  time_point done_at_;
  std::function<void()> on_done_;
};

using body_upload_ptr = std::shared_ptr<body_upload>;

/// Ends a connection on which a request's body has not been read whole. Closing it at once would
/// send a reset, and the peer might drop the response; so what it still sends is discarded for a
/// short time.
asio::awaitable<void> CloseAfterUnreadBody(connection& peer);

}  // namespace catkinmoor::proxy_internal
