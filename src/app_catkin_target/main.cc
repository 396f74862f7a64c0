// Stand-in for a back end.

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "framework/base/build_info.h"
#include "framework/logging/log.h"
#include "stand_in/target_stand_in.h"

int main(int argc, char** argv) {
  CLI::App app("catkin_target: stand-in for a back end");
  std::string settings_path;
  bool check = false;
  app.add_option("--settings", settings_path, "Settings file, JSON with comments")->required();
  app.add_flag("--check-settings", check, "Check the settings and exit");
  app.set_version_flag("--version", catkinmoor::FormatBuildInfo(catkinmoor::ThisBuild()));
  app.footer("Example: catkin_target --settings examples/catkin_target.json");
  CLI11_PARSE(app, argc, argv);
  auto text = catkinmoor::json::ReadFile(settings_path);
  if (!catkinmoor::Ok(text)) {
    std::cerr << catkinmoor::FormatError(catkinmoor::Failure(text)) << "\n";
    return 2;
  }
  auto parsed = catkinmoor::ParseTargetSettings(catkinmoor::Value(text));
  if (const auto* problems = std::get_if<catkinmoor::json::problems>(&parsed)) {
    std::cerr << settings_path << ":\n" << catkinmoor::json::FormatProblems(*problems) << "\n";
    return 2;
  }
  if (check) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  catkinmoor::logging::Start("catkin_target", false);
  catkinmoor::target_stand_in target(std::get<catkinmoor::target_settings>(parsed));
  const auto outcome = target.Run();
  if (catkinmoor::Ok(outcome)) return 0;
  catkinmoor::logging::Warning("target failed to run, exiting", catkinmoor::Failure(outcome));
  return 1;
}
