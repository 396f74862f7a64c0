#include "proxy/worker_pool.h"

namespace catkinmoor {

worker_pool::worker_pool(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    auto added = std::make_unique<worker>();
    worker* const raw = added.get();
    added->thread = std::thread([raw] { raw->context.run(); });
    workers_.push_back(std::move(added));
  }
}

worker_pool::~worker_pool() {
  Stop();
  // Coroutines of any context may hold the last reference to objects with timers of the first one,
  // so it is destroyed last.
  while (!workers_.empty()) workers_.pop_back();
}

void worker_pool::Stop() {
  for (auto& each : workers_) each->context.stop();
  for (auto& each : workers_) {
    if (each->thread.joinable()) each->thread.join();
  }
  for (const auto& callback : on_stopped_) callback();
  on_stopped_.clear();
}

}  // namespace catkinmoor
