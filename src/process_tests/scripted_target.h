#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace catkinmoor {

/// A server that sends the response bytes that a test specifies.
class scripted_server {
 public:
  /// The bytes to send, and the delay before them. The connection is closed afterwards unless
  /// keep_alive is set; empty bytes close it without a response.
  struct response {
    std::string bytes;
    bool keep_alive = false;
    int delay_ms = 0;
    /// Sent again and again after the bytes until the caller closes the connection.
    std::string repeated = {};
    /// Pause between two repetitions.
    int repeat_pause_ms = 0;
    /// Bytes of the request's body that are read after the response has been sent.
    std::size_t body_bytes = 0;
    /// How long the connection is held open after the response without reading from it.
    int hold_ms = 0;
    /// Closes the connection with a reset. The bytes sent before may still be received.
    bool reset = false;
  };
  /// Returns the response to a request, given the head of the request.
  using script = std::function<response(const std::string& head)>;

  scripted_server(const std::string& address, int port, script response_script);
  ~scripted_server();
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  /// Number of requests received so far.
  int Requests() const { return requests_; }

  /// Number of responses without end that the caller has ended by closing the connection.
  int EndlessResponsesClosed() const { return endless_closed_; }

  /// Number of bodies that were read whole after their response.
  int BodiesRead() const { return bodies_read_; }

 private:
  void Serve();
  void ServeConnection(int connection);
  void SendEndlessly(int connection, const std::string& repeated, int pause_ms);

  script script_;
  int listener_ = -1;
  std::atomic<int> requests_ = 0;
  std::atomic<int> endless_closed_ = 0;
  std::atomic<int> bodies_read_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread server_;
};

/// A scripted server that announces itself to its daemon as a target.
class scripted_target : public scripted_server {
 public:
  scripted_target(const std::string& address, script response_script);
  ~scripted_target();
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;

  /// Where a target on an address listens.
  static constexpr int kPort = 8000;

 private:
  void AnnouncePeriodically();

  std::string address_;
  std::atomic<bool> announcing_ = true;
  std::thread announcer_;
};

/// A caller's connection whose bytes a test sends and receives itself.
class raw_connection {
 public:
  raw_connection(const std::string& address, int port);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  void Send(const std::string& bytes);

  /// Closes the connection in an orderly way.
  void Close();

  /// Receives until a text has arrived, the connection has ended, or the timeout has passed.
  /// Returns all that was received on the connection so far.
  const std::string& ReceiveUntil(const std::string& text, int timeout_ms = 5'000);

 private:
  int socket_ = -1;
  std::string received_;
};

/// Sends bytes to a port and returns what is received until the connection is closed or nothing has
/// arrived for one second.
std::string SendRaw(const std::string& address, int port, const std::string& bytes);

}  // namespace catkinmoor
