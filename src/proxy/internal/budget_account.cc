#include "proxy/internal/budget_account.h"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace catkinmoor::proxy_internal {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);

// Bytes are drawn in steps, so that most reads need no access to the shared budget.
constexpr std::int64_t kDrawStep = 4 << 10;
// Waiting callers ask again after this time, at first and at most.
constexpr milliseconds kFirstRetryDelay{10};
constexpr milliseconds kMaxRetryDelay{80};
// A caller whose reads have been stopped for this long is turned away itself: nobody else can be,
// and its own time limits apply.
constexpr milliseconds kMaxWait{3'000};

std::int64_t RoundUp(std::int64_t bytes) { return (bytes + kDrawStep - 1) / kDrawStep * kDrawStep; }

}  // namespace

budget_account::budget_account(std::shared_ptr<connection_budget> budget, holder_kind kind,
                               asio::any_io_executor executor, std::function<void()> cancel)
    : budget_(std::move(budget)), state_(std::make_shared<state>()), timer_(executor) {
  state_->cancel = std::move(cancel);
  state_->budget = budget_;
  state_->id = budget_->Open(kind, executor, [weak = std::weak_ptr<state>(state_)] {
    if (const auto account = weak.lock()) TurnAway(*account);
  });
}

budget_account::~budget_account() { budget_->Close(state_->id); }

void budget_account::TurnAway(state& account) {
  // The request may have been read, or the next one may have begun, since the selection.
  if (account.phase == holder_phase::kServing) {
    account.budget->Deselect(account.id);
    return;
  }
  account.turned_away = true;
  account.budget->CountTurnedAway(account.phase);
  account.cancel();
}

void budget_account::SetPhase(holder_phase phase) {
  if (state_->phase == phase) return;
  state_->phase = phase;
  if (phase == holder_phase::kServing && state_->turned_away) {
    // The request was read to its end just as the connection was to be turned away.
    state_->turned_away = false;
    budget_->Deselect(state_->id);
  }
  if (phase == holder_phase::kIdle) {
    request_bytes_ = 0;
    unanswered_bytes_ = 0;
    buffer_bytes_ = 0;
    body_bytes_ = 0;
    block_bytes_ = 0;
    GiveBack();
  }
  budget_->SetPhase(state_->id, phase);
}

void budget_account::RecordProgress(std::size_t bytes) {
  budget_->RecordProgress(state_->id, static_cast<std::int64_t>(bytes));
}

asio::awaitable<bool> budget_account::HoldRequest(std::size_t bytes) {
  request_bytes_ = bytes;
  co_return co_await Draw();
}

asio::awaitable<bool> budget_account::HoldBuffer(std::size_t bytes) {
  buffer_bytes_ = bytes;
  co_return co_await Draw();
}

asio::awaitable<bool> budget_account::HoldBody(std::size_t bytes) {
  body_bytes_ = bytes;
  co_return co_await Draw();
}

asio::awaitable<bool> budget_account::HoldBlock(std::size_t bytes) {
  block_bytes_ = bytes;
  co_return co_await Draw();
}

bool budget_account::TryHoldBlock(std::size_t bytes) {
  if (state_->turned_away) return false;
  const std::size_t before = block_bytes_;
  block_bytes_ = bytes;
  const std::int64_t needed = Needed();
  if (needed <= drawn_) return true;
  if (budget_->TryHold(state_->id, needed)) {
    drawn_ = needed;
    return true;
  }
  // The connection does not wait for these bytes.
  budget_->TryHold(state_->id, drawn_);
  block_bytes_ = before;
  return false;
}

bool budget_account::TryHoldRequestAhead(std::size_t bytes) {
  return TryHoldAhead(request_bytes_, bytes);
}

bool budget_account::TryHoldBufferAhead(std::size_t bytes) {
  return TryHoldAhead(buffer_bytes_, bytes);
}

bool budget_account::TryHoldAhead(std::size_t& part, std::size_t bytes) {
  if (state_->turned_away) return false;
  const std::size_t before = part;
  part = bytes;
  const std::int64_t needed = Needed();
  if (needed <= drawn_) return true;
  if (budget_->TryHoldAhead(state_->id, needed)) {
    drawn_ = needed;
    return true;
  }
  part = before;
  return false;
}

void budget_account::KeepRequest(std::size_t unanswered_bytes) {
  request_bytes_ = 0;
  unanswered_bytes_ = unanswered_bytes;
}

void budget_account::ReleaseAnswered(std::size_t unanswered_bytes) {
  unanswered_bytes_ = unanswered_bytes;
  GiveBack();
}

void budget_account::ReleaseBuffer() {
  buffer_bytes_ = 0;
  GiveBack();
}

void budget_account::ReleaseBody() {
  body_bytes_ = 0;
  GiveBack();
}

void budget_account::ReleaseBlock() {
  block_bytes_ = 0;
  GiveBack();
}

std::int64_t budget_account::Needed() const {
  const auto requests = static_cast<std::int64_t>(request_bytes_ + unanswered_bytes_);
  const bool is_idle = state_->phase == holder_phase::kIdle;
  return byte_budget::kIdleBytes + (is_idle ? 0 : std::max(byte_budget::kRequestBytes, requests)) +
         RoundUp(static_cast<std::int64_t>(buffer_bytes_ + body_bytes_ + block_bytes_));
}

void budget_account::GiveBack() {
  const std::int64_t needed = Needed();
  if (needed >= drawn_) return;
  budget_->TryHold(state_->id, needed);
  drawn_ = needed;
}

asio::awaitable<bool> budget_account::Draw() {
  const std::int64_t needed = Needed();
  milliseconds delay = kFirstRetryDelay;
  milliseconds waited{0};
  while (!state_->turned_away && needed > drawn_) {
    if (budget_->TryHold(state_->id, needed)) {
      drawn_ = needed;
      break;
    }
    budget_->MakeRoom(state_->id, needed);
    if (waited >= kMaxWait) {
      state_->turned_away = true;
      budget_->CountTurnedAway(state_->phase);
      break;
    }
    timer_.expires_after(delay);
    co_await timer_.async_wait(kAwait);
    waited += delay;
    delay = std::min(2 * delay, kMaxRetryDelay);
  }
  co_return !state_->turned_away;
}

}  // namespace catkinmoor::proxy_internal
