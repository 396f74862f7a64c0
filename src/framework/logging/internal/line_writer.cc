#include "framework/logging/internal/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>

namespace catkinmoor::logging {
namespace {

/// Maximum size of the queue for a slow reader; holds a few seconds of warnings under full load.
constexpr std::size_t kMaxQueueBytes = 512U << 10U;
/// Time for which lines are collected and then written together, so that the writer thread
/// of a busy program does not wake up for each line.
constexpr std::chrono::milliseconds kBatchDelay{50};
/// Longest wait for the descriptor to become writable at program exit, in milliseconds.
constexpr int kShutdownTimeoutMs = 200;

/// Writes the whole text. Returns false if the descriptor failed or was not writable within the
/// timeout; a negative timeout means to wait without limit.
bool WriteAll(int descriptor, std::string_view text, int timeout_ms) {
  while (!text.empty()) {
    if (timeout_ms >= 0) {
      pollfd ready{descriptor, POLLOUT, 0};
      if (::poll(&ready, 1, timeout_ms) <= 0) return false;
    }
    const auto written = ::write(descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace

line_writer::line_writer(int descriptor) : descriptor_(descriptor), thread_([this] { Run(); }) {}

line_writer::~line_writer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

bool line_writer::Write(std::string line) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queued_bytes_ + line.size() > kMaxQueueBytes) {
      ++dropped_;
      return false;
    }
    queued_bytes_ += line.size();
    was_empty = lines_.empty();
    lines_.push_back(std::move(line));
  }
  if (was_empty) wake_.notify_one();
  return true;
}

std::uint64_t line_writer::Dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void line_writer::Run() {
  for (;;) {
    std::string batch;
    bool final_batch = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [&] { return stopping_ || !lines_.empty(); });
      wake_.wait_for(lock, kBatchDelay, [&] { return stopping_; });
      final_batch = stopping_;
      for (const std::string& line : lines_) batch += line;
      lines_.clear();
      queued_bytes_ = 0;
      if (dropped_ > reported_dropped_) {
        batch += "{\"event\":\"log lines dropped\",\"count\":" +
                 std::to_string(dropped_ - reported_dropped_) + "}\n";
        reported_dropped_ = dropped_;
      }
    }
    // A failure is ignored: the descriptor is the log itself, so there is nowhere to report it.
    WriteAll(descriptor_, batch, final_batch ? kShutdownTimeoutMs : -1);
    if (final_batch) return;
  }
}

}  // namespace catkinmoor::logging
