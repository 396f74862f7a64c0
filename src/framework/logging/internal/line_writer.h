#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace catkinmoor::logging {

/// Writes lines to a descriptor from a thread of its own. Callers never wait for the reader of the
/// descriptor: lines that do not fit the bounded queue are dropped and counted.
class line_writer {
 public:
  /// The descriptor stays open for the writer's life and is not closed by it.
  explicit line_writer(int descriptor);

  /// Writes what is queued, as far as the reader takes it within a bounded time.
  ~line_writer();
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /// Queues one line, its end included. False when it was dropped.
  bool Write(std::string line);

  /// Count of lines dropped so far.
  std::uint64_t Dropped() const;

 private:
  void Run();

  const int descriptor_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> lines_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkinmoor::logging
