// Load generator, ledger checks and measurements.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "framework/base/build_info.h"
#include "framework/json/reader.h"
#include "load/convergence.h"
#include "load/footprint.h"
#include "load/ledger_check.h"
#include "load/load_runner.h"

namespace catkinmoor {
namespace {

constexpr int kExitViolation = 3;

std::vector<endpoint> ParseEndpoints(const std::vector<std::string>& names) {
  std::vector<endpoint> endpoints;
  for (const std::string& each : names) {
    const auto parsed = ParseEndpoint(each);
    if (!Ok(parsed)) throw CLI::ValidationError("address", Failure(parsed).message);
    endpoints.push_back(Value(parsed));
  }
  return endpoints;
}

std::vector<std::string> ReadFiles(const std::vector<std::string>& paths) {
  std::vector<std::string> texts;
  for (const std::string& each : paths) {
    auto text = json::ReadFile(each);
    if (!Ok(text)) throw CLI::ValidationError("file", FormatError(Failure(text)));
    texts.push_back(std::move(Value(text)));
  }
  return texts;
}

int Check(const std::vector<std::string>& callers, const std::vector<std::string>& targets) {
  const auto report = CheckLedgers(ReadFiles(callers), ReadFiles(targets));
  if (!Ok(report)) {
    std::cerr << FormatError(Failure(report)) << "\n";
    return 1;
  }
  std::cout << FormatReport(Value(report)) << "\n";
  return Value(report).HasNoViolations() ? 0 : kExitViolation;
}

int Converge(convergence_settings settings, const std::vector<std::string>& daemons,
             const std::string& file) {
  settings.daemons = ParseEndpoints(daemons);
  settings.document = ReadFiles({file}).front();
  const char* token = std::getenv("CATKINCTL_TOKEN");
  settings.token = token == nullptr ? "" : token;
  const auto report = MeasureConvergence(settings);
  if (!Ok(report)) {
    std::cerr << FormatError(Failure(report)) << "\n";
    return 1;
  }
  std::cout << FormatReport(Value(report)) << "\n";
  return Value(report).missed_changes == 0 ? 0 : kExitViolation;
}

}  // namespace

int Run(int argc, char** argv) {
  CLI::App app("catkin_load: load generator, ledger checks and measurements");
  app.set_version_flag("--version", FormatBuildInfo(ThisBuild()));
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 no violation, 1 failed, 3 a guarantee was violated.\n"
      "Example: catkin_load run --entry 127.1.1.1:8080 --seconds 5 --ledger callers.jsonl");
  int code = 0;

  load_settings load;
  std::vector<std::string> entries;
  auto* run = app.add_subcommand("run", "Send a mixed load and check every response");
  run->add_option("--entry", entries, "Entries to send requests to, as address:port")
      ->required()
      ->delimiter(',');
  run->add_option("--service", load.service, "Service to call");
  run->add_option("--callers", load.callers, "Number of concurrent callers")
      ->check(CLI::Range(1, 100'000));
  run->add_option("--seconds", load.seconds, "Duration of the run, in seconds")
      ->check(CLI::Range(0.1, 86'400.0));
  run->add_option("--rate", load.requests_per_s, "Requests per second in total; 0 for no limit");
  run->add_option("--browse", load.mix.browse, "Relative share of browse requests");
  run->add_option("--booking", load.mix.booking, "Relative share of booking requests");
  run->add_option("--download", load.mix.download, "Relative share of download requests");
  run->add_option("--download-bytes", load.download_bytes, "Size of a download, in bytes");
  run->add_option("--work-ms", load.work_ms,
                  "Processing time of each request at the target, in milliseconds");
  run->add_option("--ledger", load.ledger_path, "File to write the callers' ledger to");
  run->add_option("--seed", load.seed, "Random seed of the request mix");
  run->callback([&] {
    load.entries = ParseEndpoints(entries);
    std::cout << FormatReport(RunLoad(load)) << "\n";
  });

  std::vector<std::string> callers;
  std::vector<std::string> targets;
  auto* check = app.add_subcommand("check", "Compare the callers' ledgers with the targets'");
  check->add_option("--callers", callers, "Ledger files of callers")->required();
  check->add_option("--targets", targets, "Ledger files of targets")->required();
  check->callback([&] { code = Check(callers, targets); });

  convergence_settings convergence;
  std::vector<std::string> daemons;
  std::string file;
  std::int64_t pause_ms = 500;
  std::int64_t rest_ms = 5'000;
  auto* converge = app.add_subcommand("converge", "Measure how fast changes come into force");
  converge->add_option("--daemon", daemons, "Administration endpoints of all daemons")
      ->required()
      ->delimiter(',');
  converge->add_option("--document", file, "Document to change")->required();
  converge->add_option("--changes", convergence.changes, "Number of changes");
  converge->add_option("--pause-ms", pause_ms, "Pause between changes, in milliseconds");
  converge->add_option("--rest-ms", rest_ms,
                       "Idle time measured before the first change, in milliseconds");
  converge->add_option("--seed", convergence.seed, "Random seed of the run");
  converge->callback([&] {
    convergence.pause_between_changes = milliseconds(pause_ms);
    convergence.idle_period = milliseconds(rest_ms);
    code = Converge(convergence, daemons, file);
  });

  footprint_settings footprint_size;
  auto* footprint =
      app.add_subcommand("footprint", "Measure what the state of a fleet costs one daemon");
  footprint->add_option("--members", footprint_size.members, "Number of members in the fleet");
  footprint->add_option("--documents", footprint_size.documents, "Number of documents in force");
  footprint->add_option("--regions", footprint_size.regions, "Number of regions");
  footprint->add_option("--data-centres", footprint_size.data_centres, "Number of data centres");
  footprint->callback(
      [&] { std::cout << FormatReport(footprint_size, MeasureFootprint(footprint_size)) << "\n"; });

  CLI11_PARSE(app, argc, argv);
  return code;
}

}  // namespace catkinmoor

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return catkinmoor::Run(argc, argv);
}
