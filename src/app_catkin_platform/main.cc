// Stand-in for the platform's table and object store.

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "framework/base/build_info.h"
#include "framework/base/endpoint.h"
#include "framework/http/server.h"
#include "framework/logging/log.h"
#include "stand_in/platform_stand_in.h"

int main(int argc, char** argv) {
  CLI::App app("catkin_platform: stand-in for the platform's table and object store");
  std::string listen_text = "127.0.0.1:9100";
  app.add_option("--listen", listen_text, "Address to listen on, as address:port");
  app.set_version_flag("--version", catkinmoor::FormatBuildInfo(catkinmoor::ThisBuild()));
  app.footer("Example: catkin_platform --listen 127.0.0.1:9100");
  CLI11_PARSE(app, argc, argv);
  catkinmoor::logging::Start("catkin_platform", false);
  auto listen_address = catkinmoor::ParseEndpoint(listen_text);
  if (!catkinmoor::Ok(listen_address)) {
    std::cerr << catkinmoor::FormatError(catkinmoor::Failure(listen_address)) << "\n";
    return 2;
  }
  boost::asio::io_context context(1);
  catkinmoor::platform_stand_in platform(context);
  catkinmoor::http::server server(context, {.body_bytes = 8U << 20U},
                                  [&](catkinmoor::http::request message) {
                                    return platform.HandleRequest(std::move(message));
                                  });
  const auto bound = server.Listen(catkinmoor::Value(listen_address));
  if (!catkinmoor::Ok(bound)) {
    std::cerr << catkinmoor::FormatError(catkinmoor::Failure(bound)) << "\n";
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
