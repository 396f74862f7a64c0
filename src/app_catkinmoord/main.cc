// The daemon that runs on each vm.

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "daemon/daemon.h"
#include "framework/base/build_info.h"
#include "framework/logging/log.h"

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitInvalidSettings = 2;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "catkinmoord: entry, gate and exit proxies and configuration distribution of one vm");
  std::string settings_path;
  bool check = false;
  bool print = false;
  bool reference = false;
  app.add_option("--settings", settings_path, "Settings file, JSON with comments");
  app.add_flag("--check-settings", check, "Check the settings and exit");
  app.add_flag("--print-settings", print, "Print the effective settings and exit");
  app.add_flag("--settings-reference", reference, "Print every setting as Markdown and exit");
  app.set_version_flag("--version", catkinmoor::FormatBuildInfo(catkinmoor::ThisBuild()));
  app.footer("Example: catkinmoord --settings examples/catkinmoord.json");
  CLI11_PARSE(app, argc, argv);
  if (reference) {
    std::cout << catkinmoor::DaemonSettingsReference();
    return 0;
  }
  auto text = catkinmoor::json::ReadFile(settings_path);
  if (!catkinmoor::Ok(text)) {
    std::cerr << catkinmoor::FormatError(catkinmoor::Failure(text)) << "\n";
    return kExitInvalidSettings;
  }
  auto parsed = catkinmoor::ParseDaemonSettings(catkinmoor::Value(text));
  if (const auto* problems = std::get_if<catkinmoor::json::problems>(&parsed)) {
    std::cerr << settings_path << ":\n" << catkinmoor::json::FormatProblems(*problems) << "\n";
    return kExitInvalidSettings;
  }
  auto& settings = std::get<catkinmoor::daemon_settings>(parsed);
  if (print) std::cout << catkinmoor::PrintDaemonSettings(settings);
  if (print || check) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  catkinmoor::logging::Start("catkinmoord", settings.verbose);
  catkinmoor::catkinmoor_daemon daemon(settings);
  const auto outcome = daemon.Run();
  if (catkinmoor::Ok(outcome)) return 0;
  catkinmoor::logging::Warning("daemon failed to run, exiting", catkinmoor::Failure(outcome));
  return kExitFailed;
}
