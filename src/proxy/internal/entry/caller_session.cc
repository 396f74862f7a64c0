#include "proxy/internal/entry/caller_session.h"

#include <algorithm>
#include <string_view>

#include "proxy/internal/wire/head_size.h"

namespace catkinmoor::proxy_internal {
namespace {

// Requests of one connection that may be unanswered at a time. Callers that send ahead send a few.
constexpr std::size_t kMaxUnanswered = 16;
// Bytes charged for the unanswered requests of one connection, beyond which no further one is read.
constexpr std::size_t kMaxHeldBytes = 256U << 10U;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string_view Unparsed(const connection& from) {
  const auto held = from.buffer.cdata();
  return {static_cast<const char*>(held.data()), held.size()};
}

}  // namespace

caller_session::caller_session(connection_ptr caller, std::size_t max_head_bytes)
    : caller_(std::move(caller)),
      max_head_bytes_(max_head_bytes),
      order_(kMaxUnanswered, kMaxHeldBytes),
      changed_(caller_->stream.get_executor(), time_point::max()) {}

response_order::ticket caller_session::Add(std::size_t bytes) {
  const response_order::ticket added = order_.Add(bytes);
  if (caller_->account != nullptr) caller_->account->KeepRequest(order_.Bytes());
  return added;
}

void caller_session::Finish(response_order::ticket finished, bool keep_open) {
  const bool closes = !keep_open && !order_.IsClosed();
  order_.Finish(finished, keep_open);
  if (caller_->account != nullptr) caller_->account->ReleaseAnswered(order_.Bytes());
  if (closes) Close();
  Notify();
}

void caller_session::Close() {
  order_.Close();
  // A callback resumes no coroutine at once, so the list does not change meanwhile.
  for (const auto& cancel : cancels_) cancel();
  Notify();
}

asio::awaitable<bool> caller_session::AwaitTurn(response_order::ticket request) {
  while (!order_.IsClosed() && !order_.IsTurn(request)) co_await changed_.async_wait(kAwait);
  co_return !order_.IsClosed();
}

asio::awaitable<void> caller_session::AwaitFinished(response_order::ticket request) {
  while (!order_.IsFinished(request)) co_await changed_.async_wait(kAwait);
}

asio::awaitable<void> caller_session::AwaitEmpty() {
  while (!order_.IsEmpty()) co_await changed_.async_wait(kAwait);
}

asio::awaitable<void> caller_session::AwaitNextRequest() {
  while (!order_.IsClosed() && !order_.IsEmpty()) {
    const bool has_next = reads_ahead_ && order_.HasRoom() && HasBufferedHead();
    if (has_next && TryHoldNextRequest()) co_return;
    if (readable_ && MayReadAhead() && ReadAhead()) continue;
    Watch();
    co_await changed_.async_wait(kAwait);
  }
}

bool caller_session::MayReadAhead() const {
  return reads_ahead_ && order_.HasRoom() && caller_->buffer.size() < max_head_bytes_;
}

bool caller_session::HasBufferedHead() const {
  return Unparsed(*caller_).find(kHeadEnd) != std::string_view::npos;
}

bool caller_session::TryHoldNextRequest() {
  if (caller_->account == nullptr) return true;
  return caller_->account->TryHoldRequestAhead(RequestBytes(MeasureHead(Unparsed(*caller_))));
}

bool caller_session::ReadAhead() {
  beast::error_code failed;
  auto& socket = caller_->stream.socket();
  const std::size_t available = socket.available(failed);
  if (failed || available == 0) {
    readable_ = false;
    return true;
  }
  beast::flat_buffer& buffer = caller_->buffer;
  const std::size_t room = std::min(available, max_head_bytes_ - buffer.size());
  const bool grows = buffer.size() + room > buffer.capacity();
  const std::size_t held = grows ? 2 * buffer.size() + room : buffer.capacity();
  if (caller_->account != nullptr && !caller_->account->TryHoldBufferAhead(held)) return false;
  readable_ = false;
  const std::size_t count = socket.read_some(buffer.prepare(room), failed);
  buffer.commit(count);
  return true;
}

void caller_session::Watch() {
  watching_ = true;
  // The coroutine of a request may have read them meanwhile.
  readable_ = readable_ && HasUnreadBytes(*caller_);
  if (wait_pending_ || readable_) return;
  wait_pending_ = true;
  caller_->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                      [self = shared_from_this()](const beast::error_code& failed) {
                                        self->wait_pending_ = false;
                                        if (!failed && self->watching_) self->OnReadable();
                                        self->Notify();
                                      });
}

void caller_session::OnReadable() {
  readable_ = HasUnreadBytes(*caller_);
  if (proxy_internal::IsClosed(*caller_) && !order_.IsClosed()) Close();
}

void caller_session::End() {
  beast::error_code ignored;
  caller_->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  caller_->stream.socket().close(ignored);
}

cancel_on_close::cancel_on_close(caller_session& session, std::function<void()> callback)
    : session_(session),
      registered_(session.cancels_.insert(session.cancels_.end(), std::move(callback))) {}

cancel_on_close::~cancel_on_close() { session_.cancels_.erase(registered_); }

}  // namespace catkinmoor::proxy_internal
