#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "proxy/connection_budget.h"

namespace catkinmoor::proxy_internal {

/// What one connection holds of the budget. Used on the worker of the connection only; gives back
/// everything on destruction.
class budget_account {
 public:
  /// The callback cancels the operations of the connection when it is turned away.
  budget_account(std::shared_ptr<connection_budget> budget, holder_kind kind,
                 boost::asio::any_io_executor executor, std::function<void()> cancel);
  ~budget_account();
  budget_account(const budget_account&) = delete;
  budget_account& operator=(const budget_account&) = delete;

  /// Whether the connection is to be closed, since another one needs what it holds.
  bool IsTurnedAway() const { return state_->turned_away; }

  void SetPhase(holder_phase phase);
  void RecordProgress(std::size_t bytes);

  /// Each draws the bytes of what the connection is about to hold, and waits until the budget has
  /// them: the request whose head is being read, unparsed data, a body kept for retries, or a block
  /// of a streamed body. Returns false if the connection is turned away.
  boost::asio::awaitable<bool> HoldRequest(std::size_t bytes);
  boost::asio::awaitable<bool> HoldBuffer(std::size_t bytes);
  boost::asio::awaitable<bool> HoldBody(std::size_t bytes);
  boost::asio::awaitable<bool> HoldBlock(std::size_t bytes);

  /// Draws the bytes of a block if the budget has them now.
  bool TryHoldBlock(std::size_t bytes);

  /// Each draws, if the budget has them now, the bytes of a request that is read before the
  /// responses to earlier ones.
  bool TryHoldRequestAhead(std::size_t bytes);
  bool TryHoldBufferAhead(std::size_t bytes);

  /// The request whose head was read is one of those that are unanswered, which hold this many
  /// bytes together. Without a call of this, it is held until the connection is idle.
  void KeepRequest(std::size_t unanswered_bytes);
  /// Gives back what is drawn for unanswered requests beyond this many bytes.
  void ReleaseAnswered(std::size_t unanswered_bytes);

  /// Each gives back all that was drawn for it.
  void ReleaseBuffer();
  void ReleaseBody();
  void ReleaseBlock();

 private:
  struct state {
    std::function<void()> cancel;
    std::shared_ptr<connection_budget> budget;
    byte_budget::holder_id id = 0;
    holder_phase phase = holder_phase::kIdle;
    bool turned_away = false;
  };

  static void TurnAway(state& account);
  std::int64_t Needed() const;
  bool TryHoldAhead(std::size_t& part, std::size_t bytes);
  boost::asio::awaitable<bool> Draw();
  void GiveBack();

  std::shared_ptr<connection_budget> budget_;
  std::shared_ptr<state> state_;
  boost::asio::steady_timer timer_;
  std::int64_t drawn_ = byte_budget::kIdleBytes;
  std::size_t request_bytes_ = 0;
  std::size_t unanswered_bytes_ = 0;
  std::size_t buffer_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t block_bytes_ = 0;
};

}  // namespace catkinmoor::proxy_internal
