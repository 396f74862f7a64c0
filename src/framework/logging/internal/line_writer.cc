#include "framework/logging/internal/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>

namespace catkinmoor::logging {
namespace {

/// Bytes that may wait for a slow reader; some seconds of warnings under full load.
constexpr std::size_t kQueueBytes = 512U << 10U;
/// Time in which lines are gathered before they are written together, so that a busy program is not
/// woken for each.
constexpr std::chrono::milliseconds kGatherTime{50};
/// Time that a descriptor may refuse bytes at the end of the program, in milliseconds.
constexpr int kFarewellMs = 200;

/// Writes all of a text. False when the descriptor failed, or refused bytes for too long.
bool WriteAll(int descriptor, std::string_view text, int patience_ms) {
  while (!text.empty()) {
    if (patience_ms >= 0) {
      pollfd ready{descriptor, POLLOUT, 0};
      if (::poll(&ready, 1, patience_ms) <= 0) return false;
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
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queued_bytes_ + line.size() > kQueueBytes) {
      ++dropped_;
      return false;
    }
    queued_bytes_ += line.size();
    first = lines_.empty();
    lines_.push_back(std::move(line));
  }
  if (first) wake_.notify_one();
  return true;
}

std::uint64_t line_writer::Dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void line_writer::Run() {
  for (;;) {
    std::string batch;
    bool last = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [&] { return stopping_ || !lines_.empty(); });
      wake_.wait_for(lock, kGatherTime, [&] { return stopping_; });
      last = stopping_;
      for (const std::string& line : lines_) batch += line;
      lines_.clear();
      queued_bytes_ = 0;
      if (dropped_ > reported_) {
        batch +=
            "{\"event\":\"log lines dropped\",\"count\":" + std::to_string(dropped_ - reported_) +
            "}\n";
        reported_ = dropped_;
      }
    }
    // Nobody is left to tell when the descriptor itself fails.
    WriteAll(descriptor_, batch, last ? kFarewellMs : -1);
    if (last) return;
  }
}

}  // namespace catkinmoor::logging
