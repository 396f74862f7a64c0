#pragma once

#include <mutex>

#include "framework/base/clock.h"

namespace catkinmoor {

/// Decides when a daemon that relies on other daemons to read the source has to read it itself. The
/// readers confirm that the documents they spread are the newest. Once no confirmation is younger
/// than the maximum age, the documents of this daemon may be out of date without its knowledge.
/// Thread-safe.
class source_freshness {
 public:
  /// A maximum age of 0 always relies on other daemons.
  explicit source_freshness(milliseconds max_age) : max_age_(max_age) {}

  /// Records that the documents held were the newest of the source at `confirmed_at`.
  void OnConfirmed(time_point confirmed_at);

  /// Records that this daemon confirmed the source to others.
  void OnConfirmationSent(time_point sent_at);

  /// Whether this daemon has to read the source itself.
  bool IsStale(time_point now) const;

  /// When IsStale becomes true if no further confirmation arrives.
  time_point StaleAt() const;

  /// Whether others need a confirmation from this daemon: none was sent or received recently.
  bool ShouldConfirm(time_point now) const;

  /// Time since the last confirmation by another daemon.
  milliseconds Age(time_point now) const;

 private:
  mutable std::mutex mutex_;
  milliseconds max_age_;
  time_point confirmed_at_{};
  time_point sent_at_{};
};

}  // namespace catkinmoor
