#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace catkinmoor {

/// A fixed set of threads, each with an io_context of its own. A connection stays on the worker it
/// was given to, so its state needs no lock.
class worker_pool {
 public:
  explicit worker_pool(std::size_t count);
  ~worker_pool();
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  std::size_t Size() const { return workers_.size(); }
  boost::asio::io_context& Context(std::size_t index) { return workers_[index]->context; }

  /// The index of the worker that takes the next connection.
  std::size_t Next() { return next_++ % workers_.size(); }

  /// Has something called once all threads have stopped, while their contexts still live.
  void OnStopped(std::function<void()> work) { on_stopped_.push_back(std::move(work)); }

  /// Stops the threads and waits for them.
  void Stop();

 private:
  struct worker {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
        context.get_executor()};
    std::thread thread;
  };
  std::vector<std::unique_ptr<worker>> workers_;
  std::atomic<std::size_t> next_ = 0;
  std::vector<std::function<void()>> on_stopped_;
};

}  // namespace catkinmoor
