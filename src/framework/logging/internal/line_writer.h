#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace catkinmoor::logging {

/// Writes lines to a file descriptor from its own thread. Callers never block on a slow reader:
/// lines that do not fit the bounded queue are dropped and counted.
class line_writer {
 public:
  /// The descriptor must stay open for the lifetime of the writer, which does not close it.
  explicit line_writer(int descriptor);

  /// Writes the queued lines, but gives up if the reader accepts nothing for a bounded time.
  ~line_writer();
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /// Queues one line, which must end with a newline. Returns false if it was dropped.
  bool Write(std::string line);

  /// Number of lines dropped so far.
  std::uint64_t Dropped() const;

 private:
  void Run();

  const int descriptor_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> lines_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace catkinmoor::logging
