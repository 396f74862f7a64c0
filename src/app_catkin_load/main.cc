// Callers, ledger checks and measurements.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "framework/json/reader.h"
#include "load/convergence.h"
#include "load/footprint.h"
#include "load/ledger_check.h"
#include "load/load_runner.h"

namespace catkinmoor {
namespace {

constexpr int kExitBreach = 3;

std::vector<endpoint> ParseAll(const std::vector<std::string>& names) {
  std::vector<endpoint> parsed;
  for (const std::string& each : names) {
    const auto where = ParseEndpoint(each);
    if (!Ok(where)) throw CLI::ValidationError("address", Failure(where).message);
    parsed.push_back(Value(where));
  }
  return parsed;
}

std::vector<std::string> ReadAll(const std::vector<std::string>& paths) {
  std::vector<std::string> texts;
  for (const std::string& each : paths) {
    auto text = json::ReadFile(each);
    if (!Ok(text)) throw CLI::ValidationError("file", Describe(Failure(text)));
    texts.push_back(std::move(Value(text)));
  }
  return texts;
}

int Check(const std::vector<std::string>& callers, const std::vector<std::string>& targets) {
  const auto report = CheckLedgers(ReadAll(callers), ReadAll(targets));
  if (!Ok(report)) {
    std::cerr << Describe(Failure(report)) << "\n";
    return 1;
  }
  std::cout << FormatReport(Value(report)) << "\n";
  return Value(report).Clean() ? 0 : kExitBreach;
}

int Converge(convergence_settings settings, const std::vector<std::string>& daemons,
             const std::string& file) {
  settings.daemons = ParseAll(daemons);
  settings.document = ReadAll({file}).front();
  const char* token = std::getenv("CATKINCTL_TOKEN");
  settings.token = token == nullptr ? "" : token;
  const auto report = RunConvergence(settings);
  if (!Ok(report)) {
    std::cerr << Describe(Failure(report)) << "\n";
    return 1;
  }
  std::cout << FormatReport(Value(report)) << "\n";
  return Value(report).missed == 0 ? 0 : kExitBreach;
}

}  // namespace

int Run(int argc, char** argv) {
  CLI::App app("catkin_load: callers, ledger checks and measurements");
  app.set_version_flag("--version", CATKINMOOR_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 clean, 1 failed, 3 a promise was broken.\n"
      "Example: catkin_load run --entry 127.1.1.1:8080 --seconds 5 --ledger callers.jsonl");
  int code = 0;

  load_settings load;
  std::vector<std::string> entries;
  auto* run = app.add_subcommand("run", "Send a mixed load and check every answer");
  run->add_option("--entry", entries, "Entries to call, as address:port")
      ->required()
      ->delimiter(',');
  run->add_option("--service", load.service, "Service to call");
  run->add_option("--callers", load.callers, "Callers at once")->check(CLI::Range(1, 100'000));
  run->add_option("--seconds", load.seconds, "Length of the run")->check(CLI::Range(0.1, 86'400.0));
  run->add_option("--rate", load.rate, "Requests a second in all; 0 for as many as can be");
  run->add_option("--browse", load.mix.browse, "Share of browsing");
  run->add_option("--booking", load.mix.booking, "Share of bookings");
  run->add_option("--download", load.mix.download, "Share of downloads");
  run->add_option("--download-bytes", load.download_bytes, "Size of a download");
  run->add_option("--work-ms", load.work_ms, "Work that each request asks of the target");
  run->add_option("--ledger", load.ledger, "File for the ledger");
  run->add_option("--seed", load.seed, "Seed of the mix");
  run->callback([&] {
    load.entries = ParseAll(entries);
    std::cout << FormatReport(RunLoad(load)) << "\n";
  });

  std::vector<std::string> callers;
  std::vector<std::string> targets;
  auto* check = app.add_subcommand("check", "Compare the callers' ledgers with the targets'");
  check->add_option("--callers", callers, "Ledgers of callers")->required();
  check->add_option("--targets", targets, "Ledgers of targets")->required();
  check->callback([&] { code = Check(callers, targets); });

  convergence_settings convergence;
  std::vector<std::string> daemons;
  std::string file;
  std::int64_t pause_ms = 500;
  std::int64_t rest_ms = 5'000;
  auto* converge = app.add_subcommand("converge", "Measure how fast changes come in force");
  converge->add_option("--daemon", daemons, "Administration endpoints of all daemons")
      ->required()
      ->delimiter(',');
  converge->add_option("--document", file, "Document to change")->required();
  converge->add_option("--changes", convergence.changes, "Count of changes");
  converge->add_option("--pause-ms", pause_ms, "Pause between changes");
  converge->add_option("--rest-ms", rest_ms, "Time at rest that is measured first");
  converge->add_option("--seed", convergence.seed, "Seed of the draws");
  converge->callback([&] {
    convergence.pause = milliseconds(pause_ms);
    convergence.rest = milliseconds(rest_ms);
    code = Converge(convergence, daemons, file);
  });

  footprint_settings size;
  auto* footprint = app.add_subcommand("footprint", "Measure the state of one daemon at a size");
  footprint->add_option("--members", size.members, "Members of the fleet");
  footprint->add_option("--documents", size.documents, "Documents in force");
  footprint->add_option("--regions", size.regions, "Regions");
  footprint->add_option("--data-centres", size.data_centres, "Data centres");
  footprint->callback([&] { std::cout << FormatReport(size, MeasureFootprint(size)) << "\n"; });

  CLI11_PARSE(app, argc, argv);
  return code;
}

}  // namespace catkinmoor

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return catkinmoor::Run(argc, argv);
}
