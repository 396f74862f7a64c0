#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace catkinmoor {

/// A target that answers with bytes of a test's choice and announces itself to its daemon.
class scripted_target {
 public:
  /// Given the head of a request, yields the bytes to send. An empty text closes at once; after any
  /// other the connection is closed too, unless it keeps alive.
  struct answer {
    std::string bytes;
    bool keep_alive = false;
    int delay_ms = 0;
  };
  using script = std::function<answer(const std::string& head)>;

  scripted_target(const std::string& address, script answers);
  ~scripted_target();
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;

  /// Requests seen so far.
  int Requests() const { return requests_; }

 private:
  void Serve();
  void Converse(int connection);
  void Announce();

  std::string address_;
  script answers_;
  int listener_ = -1;
  std::atomic<int> requests_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread server_;
  std::thread announcer_;
};

/// Sends bytes to a port and yields all that comes back until the end or a quiet second.
std::string SendRaw(const std::string& address, int port, const std::string& bytes);

}  // namespace catkinmoor
