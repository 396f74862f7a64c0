#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace catkinmoor {

/// A fixed set of threads, each running its own io_context. A connection stays on the worker that
/// it was assigned to, so its state needs no lock.
class worker_pool {
 public:
  explicit worker_pool(std::size_t count);
  ~worker_pool();
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  std::size_t Size() const { return workers_.size(); }
  boost::asio::io_context& Context(std::size_t index) { return workers_[index]->context; }

  /// Returns the index of the worker for the next connection, in round-robin order.
  std::size_t NextIndex() { return next_++ % workers_.size(); }

  /// Registers a callback that runs once all threads have stopped, before their contexts are
  /// destroyed.
  void OnStopped(std::function<void()> callback) { on_stopped_.push_back(std::move(callback)); }

  /// Stops and joins the threads, then runs the callbacks registered with OnStopped.
  void Stop();

 private:
  struct worker {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard{
        context.get_executor()};
    std::thread thread;
  };
  std::vector<std::unique_ptr<worker>> workers_;
  std::atomic<std::size_t> next_ = 0;
  std::vector<std::function<void()>> on_stopped_;
};

}  // namespace catkinmoor
