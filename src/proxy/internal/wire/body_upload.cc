#include "proxy/internal/wire/body_upload.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <vector>

namespace catkinmoor::proxy_internal {
namespace {

constexpr std::size_t kDiscardBlockBytes = 16U << 10U;
// Time that a peer which is still sending a body has to read the response before its connection is
// closed; a round trip between regions takes 24 ms.
constexpr milliseconds kUnreadBodyLinger{500};

}  // namespace

body_upload::body_upload(connection& from, request_parser& parser, connection& to,
                         milliseconds progress_timeout)
    : from_(from),
      parser_(parser),
      to_(to),
      progress_timeout_(progress_timeout),
      ended_(from.stream.get_executor(), time_point::max()) {}

void body_upload::Start() {
  asio::co_spawn(from_.stream.get_executor(), Run(shared_from_this()), asio::detached);
}

void body_upload::StartBody(std::string prefix) {
  asio::co_spawn(from_.stream.get_executor(), RunBody(shared_from_this(), std::move(prefix)),
                 asio::detached);
}

asio::awaitable<void> body_upload::Run(std::shared_ptr<body_upload> self) {
  const transfer_outcome outcome = co_await TransferRequest(self->from_, self->parser_, self->to_,
                                                            self->progress_timeout_, self->bytes_);
  self->End(outcome);
}

asio::awaitable<void> body_upload::RunBody(std::shared_ptr<body_upload> self, std::string prefix) {
  const transfer_outcome outcome = co_await TransferBody(
      self->from_, self->parser_, self->to_, prefix, self->progress_timeout_, self->bytes_);
  self->End(outcome);
}

void body_upload::OnDone(std::function<void()> callback) {
  on_done_ = std::move(callback);
  if (done_ && on_done_) std::exchange(on_done_, nullptr)();
}

void body_upload::End(transfer_outcome outcome) {
  outcome_ = outcome;
  done_ = true;
  done_at_ = Now();
  ended_.cancel();
  if (on_done_) std::exchange(on_done_, nullptr)();
}

asio::awaitable<void> body_upload::Finish(milliseconds max_pause, time_point deadline) {
  asio::steady_timer pause(from_.stream.get_executor());
  on_done_ = [&pause] { pause.cancel(); };
  while (!done_ && Now() < deadline) {
    const std::uint64_t before = bytes_;
    pause.expires_after(max_pause);
    co_await pause.async_wait(kAwait);
    if (bytes_ == before) break;
  }
  on_done_ = nullptr;
  co_await Stop();
}

asio::awaitable<void> body_upload::Stop() {
  if (!IsComplete()) Abort(to_);
  if (!done_) {
    beast::error_code ignored;
    from_.stream.socket().cancel(ignored);
  }
  // The executor has one thread, so the upload cannot end between the test and the wait.
  while (!done_) co_await ended_.async_wait(kAwait);
}

asio::awaitable<void> CloseAfterUnreadBody(connection& peer) {
  beast::error_code ignored;
  peer.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const time_point deadline = Now() + kUnreadBodyLinger;
  std::vector<char> block(kDiscardBlockBytes);
  beast::error_code failed;
  while (!failed) {
    peer.stream.expires_at(deadline);
    auto [read_failed, count] = co_await peer.stream.async_read_some(asio::buffer(block), kAwait);
    failed = read_failed;
  }
}

}  // namespace catkinmoor::proxy_internal
