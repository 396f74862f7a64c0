#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

namespace catkinmoor {

/// Runs a task to completion on its own io_context and returns its value. For tests.
template <typename T>
T RunToCompletion(boost::asio::awaitable<T> task) {
  boost::asio::io_context context;
  T outcome{};
  boost::asio::co_spawn(context, std::move(task), [&](const std::exception_ptr& failed, T value) {
    if (failed) std::rethrow_exception(failed);
    outcome = std::move(value);
  });
  context.run();
  return outcome;
}

}  // namespace catkinmoor
