#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

namespace catkinmoor {

/// Runs one coroutine to its end on an io_context of its own. For tests.
template <typename T>
T RunToEnd(boost::asio::awaitable<T> work) {
  boost::asio::io_context context;
  T outcome{};
  boost::asio::co_spawn(context, std::move(work), [&](const std::exception_ptr& failed, T value) {
    if (failed) std::rethrow_exception(failed);
    outcome = std::move(value);
  });
  context.run();
  return outcome;
}

}  // namespace catkinmoor
