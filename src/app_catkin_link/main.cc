// Stand-in for the network links out of one region.

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "framework/base/build_info.h"
#include "framework/base/endpoint.h"
#include "framework/http/server.h"
#include "framework/logging/log.h"
#include "stand_in/link_stand_in.h"

namespace {

int Fail(const catkinmoor::error& failure) {
  std::cerr << catkinmoor::FormatError(failure) << "\n";
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("catkin_link: stand-in for the network links out of one region");
  catkinmoor::link_settings settings;
  std::int64_t delay_ms = 12;
  std::string control;
  app.add_option("--port-offset", settings.port_offset, "Offset added to each port")->required();
  app.add_option("--port", settings.forwarded_ports, "Ports to forward")
      ->required()
      ->delimiter(',');
  app.add_option("--delay-ms", delay_ms, "Delay of every byte in each direction, in milliseconds");
  app.add_option("--control", control, "Endpoint of the control interface, as address:port")
      ->required();
  app.set_version_flag("--version", catkinmoor::FormatBuildInfo(catkinmoor::ThisBuild()));
  app.footer("Example: catkin_link --port-offset 10000 --port 9001,9002 --control 127.0.0.1:9201");
  CLI11_PARSE(app, argc, argv);
  settings.delay = catkinmoor::milliseconds(delay_ms);
  std::signal(SIGPIPE, SIG_IGN);
  catkinmoor::logging::Start("catkin_link", false);
  const auto control_endpoint = catkinmoor::ParseEndpoint(control);
  if (!catkinmoor::Ok(control_endpoint)) return Fail(catkinmoor::Failure(control_endpoint));
  boost::asio::io_context context(1);
  catkinmoor::link_stand_in link(context, settings);
  catkinmoor::http::server server(context, {}, [&](catkinmoor::http::request message) {
    return link.HandleControlRequest(std::move(message));
  });
  for (const auto& bound : {link.Listen(), server.Listen(catkinmoor::Value(control_endpoint))}) {
    if (!catkinmoor::Ok(bound)) return Fail(catkinmoor::Failure(bound));
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
