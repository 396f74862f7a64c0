#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

#include "proxy/internal/entry/response_order.h"
#include "proxy/internal/http_stream.h"

namespace catkinmoor::proxy_internal {

/// A caller's connection and the requests on it that are not answered yet. One reader reads the
/// heads of requests; each request then runs in a coroutine of its own, and waits for its turn
/// before it writes. All run on the thread of one worker.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(connection_ptr caller, std::size_t max_head_bytes);

  connection& Caller() { return *caller_; }

  /// Whether a response has closed the connection or the caller has left.
  bool IsClosed() const { return order_.IsClosed(); }
  bool IsEmpty() const { return order_.IsEmpty(); }

  bool HasBehind(response_order::ticket request) const { return order_.HasBehind(request); }

  /// Adds a request that has been read, with the bytes that it is charged.
  response_order::ticket Add(std::size_t bytes);

  /// Ends a request. If the connection is not kept open, all requests behind it are cancelled.
  void Finish(response_order::ticket finished, bool keep_open);

  /// Waits until all requests before this one are answered. Returns false if the connection is
  /// closed instead.
  asio::awaitable<bool> AwaitTurn(response_order::ticket request);

  /// Waits until a request has ended.
  asio::awaitable<void> AwaitFinished(response_order::ticket request);

  /// Waits until all requests have ended.
  asio::awaitable<void> AwaitEmpty();

  /// Waits until all requests are answered, the connection is closed, or the head of a further
  /// request has been received whole, there is room for it and the budget has its bytes. Detects
  /// that the caller leaves.
  asio::awaitable<void> AwaitNextRequest();

  /// Nothing more is read: the caller has announced its last request.
  void StopReading() { reads_ahead_ = false; }

  /// Detects that the caller leaves while nothing is read from its connection. Without watching,
  /// the coroutine of a request reads from the connection.
  void Watch();
  void Unwatch() { watching_ = false; }

  /// Closes the socket, which ends the watch.
  void End();

 private:
  friend class cancel_on_close;
  using cancel_list = std::list<std::function<void()>>;

  void OnReadable();
  void Close();
  void Notify() { changed_.cancel(); }
  bool MayReadAhead() const;
  bool HasBufferedHead() const;
  bool TryHoldNextRequest();
  /// Returns false, and reads nothing, if the budget has no room for more bytes.
  bool ReadAhead();

  connection_ptr caller_;
  std::size_t max_head_bytes_;
  response_order order_;
  /// Never expires; cancelling it wakes all that wait for a change.
  asio::steady_timer changed_;
  cancel_list cancels_;
  bool reads_ahead_ = true;
  bool watching_ = false;
  bool wait_pending_ = false;
  /// Whether unread bytes have arrived. A connection with unread bytes counts as open.
  bool readable_ = false;
};

/// Runs a callback once when the session is closed during its lifetime.
class cancel_on_close {
 public:
  cancel_on_close(caller_session& session, std::function<void()> callback);
  ~cancel_on_close();
  cancel_on_close(const cancel_on_close&) = delete;
  cancel_on_close& operator=(const cancel_on_close&) = delete;

 private:
  caller_session& session_;
  caller_session::cancel_list::iterator registered_;
};

}  // namespace catkinmoor::proxy_internal
