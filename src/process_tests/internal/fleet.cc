#include "process_tests/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "framework/base/digest.h"
#include "framework/base/endpoint.h"
#include "framework/http/client.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;
namespace fs = std::filesystem;

constexpr const char* kToken = "test-token";
constexpr const char* kTokenKey = "test-key";
constexpr milliseconds kCallTimeout{10'000};
constexpr milliseconds kPollInterval{20};
constexpr std::uint16_t kEntryPort = 8080;
constexpr std::uint16_t kAdministrationPort = 9003;

bj::value ParseOrNull(const std::string& text) {
  bj::error_code failed;
  bj::value parsed = bj::parse(text, failed);
  return failed ? bj::value() : parsed;
}

std::string ReadFile(const fs::path& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

void FailTest(const std::string& message) { throw std::runtime_error(message); }

void Require(bool holds, const std::string& message, boost::source_location place) {
  if (holds) return;
  FailTest(std::string(place.file_name()) + ":" + std::to_string(place.line()) + " " + message);
}

int WaitForProcessExit(pid_t process) {
  int status = 0;
  if (::waitpid(process, &status, 0) != process) FailTest("waitpid failed for a child process");
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void SleepBetweenPolls() { std::this_thread::sleep_for(kPollInterval); }

std::string SlotboardDocument(std::int64_t browse_deadline_ms, const std::string& extra_routes) {
  return R"({"schema": 1, "service": "slotboard", "owner": "fitting", "routes": [)" + extra_routes +
         R"({"name": "hold", "match": {"methods": ["POST"], "prefix": "/"}, "class": "booking",
             "repeatable": false, "deadline_ms": 4000, "queue": 1000},
            {"name": "browse", "match": {"methods": ["GET"], "prefix": "/"}, "class": "browse",
             "repeatable": true, "attempts": 3, "queue": 1000, "deadline_ms": )" +
         std::to_string(browse_deadline_ms) + "}]}";
}

fleet::fleet(fleet_options options) : options_(std::move(options)) {
  directory_ = (fs::temp_directory_path() / ("catkinmoor-test-" + RandomId())).string();
  fs::create_directories(directory_);
  for (int r = 1; r <= options_.regions; ++r) {
    for (int d = 1; d <= options_.data_centres; ++d) {
      for (int k = 1; k <= options_.vms; ++k) {
        const std::string address = "127." + std::to_string(options_.subnet + r) + "." +
                                    std::to_string(d) + "." + std::to_string(k);
        const std::string region = "region-" + std::to_string(r);
        addresses_.push_back(address);
        locations_[address] = {region, region + "-" + std::to_string(d)};
      }
    }
  }
}

fleet::~fleet() {
  std::vector<pid_t> processes;
  for (const auto& [address, process] : daemon_processes_) processes.push_back(process);
  for (const auto& [address, process] : target_processes_) processes.push_back(process);
  if (platform_process_ > 0) processes.push_back(platform_process_);
  processes.insert(processes.end(), link_processes_.begin(), link_processes_.end());
  for (const pid_t process : processes) ::kill(process, SIGKILL);
  for (const pid_t process : processes) ::waitpid(process, nullptr, 0);
  std::error_code ignored;
  if (std::getenv("CATKINMOOR_KEEP") == nullptr) fs::remove_all(directory_, ignored);
}

pid_t SpawnProcess(const std::vector<std::string>& arguments, const std::string& log_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& each : arguments) argv.push_back(const_cast<char*>(each.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 2, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&actions, 2, 1);
  pid_t process = 0;
  const int failed =
      ::posix_spawn(&process, arguments.front().c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) FailTest("cannot start " + arguments.front());
  return process;
}

pid_t fleet::Spawn(const std::vector<std::string>& arguments, const std::string& log) const {
  return SpawnProcess(arguments, directory_ + "/" + log);
}

std::string fleet::PlatformAddress() const {
  return "127." + std::to_string(options_.subnet) + ".0.1:9100";
}

int fleet::MaxLinkPort() const { return 9100 + kLinkPortOffset * options_.regions; }

std::string fleet::LinkControlAddress(int region) const {
  return "127." + std::to_string(options_.subnet) + ".0.1:" + std::to_string(9200 + region);
}

void fleet::StartLinks() {
  for (int r = 1; r <= options_.regions; ++r) {
    link_processes_.push_back(
        Spawn({CATKIN_LINK, "--port-offset", std::to_string(kLinkPortOffset * r), "--port",
               "9001,9002,9100", "--delay-ms", "2", "--control", LinkControlAddress(r)},
              "link.log"));
    const auto server = Value(ParseEndpoint(LinkControlAddress(r)));
    WaitUntil("a link stand-in to start", [&] {
      return Ok(http::SendBlocking(server, {"GET", "/control/stats", {}, ""}, kCallTimeout));
    });
  }
}

void fleet::ControlLink(int region, const std::string& command) {
  const auto server = Value(ParseEndpoint(LinkControlAddress(region)));
  const auto accepted =
      http::SendBlocking(server, {"POST", "/control/" + command, {}, ""}, kCallTimeout);
  Require(Ok(accepted), "a link stand-in did not accept a command");
}

/// Link rules of a daemon's settings: it reaches the other regions, and the platform, which is
/// attached to region 1, over the link stand-ins of its own region.
std::string fleet::LinkRules(const std::string& address) const {
  if (!options_.start_links) return "";
  const int own_region = std::stoi(address.substr(4)) - options_.subnet;
  std::string rules;
  for (int other_region = 0; other_region <= options_.regions; ++other_region) {
    if (other_region == own_region || (other_region == 0 && own_region == 1)) continue;
    if (!rules.empty()) rules += ",";
    rules += R"({"prefix": "127.)" + std::to_string(options_.subnet + other_region) +
             R"(.", "port_offset": )" + std::to_string(kLinkPortOffset * own_region) + "}";
  }
  return R"(, "links": [)" + rules + "]";
}

void fleet::WriteDaemonSettings(const std::string& address) {
  std::ofstream file(directory_ + "/" + address + ".daemon.json");
  file << R"({"vm": "vm-)" << address << R"(", "region": ")" << locations_[address].region
       << R"(", "data_centre": ")" << locations_[address].data_centre << R"(", "address": ")"
       << address << R"(", "platform": ")" << PlatformAddress() << R"(", "token_key": ")"
       << kTokenKey << R"(", "teams": [{"team": "*", "token_hmac": ")"
       << HmacSha256Hex(kTokenKey, kToken) << R"("}], "verbose": true)" << LinkRules(address)
       << options_.extra_daemon_settings << "}";
}

void fleet::WriteTargetSettings(const std::string& address, const std::string& service) {
  std::ofstream file(directory_ + "/" + address + ".target.json");
  file << R"({"service": ")" << service << R"(", "address": ")" << address
       << R"(:8000", "daemon": ")" << address << R"(:9004", "exit": ")" << address
       << R"(:8081", "renew_ms": 200, "ledger": ")" << directory_ << "/" << address << ".ledger\""
       << options_.extra_target_settings << "}";
}

void fleet::Start() {
  StartPlatform();
  if (options_.start_links) StartLinks();
  for (const std::string& each : addresses_) StartDaemon(each);
  for (const std::string& each : addresses_) AwaitReady(each);
  for (const std::string& each : addresses_) AwaitMembers(each, addresses_.size());
  if (!options_.start_targets) return;
  for (const std::string& each : addresses_) StartTarget(each);
  for (const std::string& each : addresses_) AwaitTargets(each, addresses_.size());
}

void fleet::StartPlatform() {
  platform_process_ = Spawn({CATKIN_PLATFORM, "--listen", PlatformAddress()}, "platform.log");
  const auto server = Value(ParseEndpoint(PlatformAddress()));
  WaitUntil("the platform stand-in to start", [&] {
    return Ok(http::SendBlocking(server, {"GET", "/control/stats", {}, ""}, kCallTimeout));
  });
}

void fleet::StartDaemon(const std::string& address) {
  WriteDaemonSettings(address);
  daemon_processes_[address] =
      Spawn({CATKINMOORD, "--settings", directory_ + "/" + address + ".daemon.json"},
            address + ".daemon.log");
}

void fleet::StartTarget(const std::string& address, const std::string& service) {
  WriteTargetSettings(address, service);
  target_processes_[address] =
      Spawn({CATKIN_TARGET, "--settings", directory_ + "/" + address + ".target.json"},
            address + ".target.log");
}

bool fleet::IsReady(const std::string& address) const {
  return SendToAdministration(address, "GET", "/readyz").status == 200;
}

void fleet::AwaitReady(const std::string& address) {
  WaitUntil("a daemon to become ready", [&] { return IsReady(address); });
}

void fleet::AwaitMembers(const std::string& address, std::size_t count) {
  WaitUntil("a daemon to know all members", [&] {
    const bj::value body = ParseOrNull(SendToAdministration(address, "GET", "/v1/members").body);
    return body.is_object() && body.at("members").as_array().size() == count;
  });
}

void fleet::SignalDaemon(const std::string& address, int signal) {
  ::kill(daemon_processes_.at(address), signal);
  if (signal == SIGKILL) WaitForDaemonExit(address);
}

void fleet::SignalTarget(const std::string& address, int signal) {
  ::kill(target_processes_.at(address), signal);
  if (signal == SIGKILL) WaitForTargetExit(address);
}

int fleet::WaitForDaemonExit(const std::string& address) {
  const int end = WaitForProcessExit(daemon_processes_.at(address));
  daemon_processes_.erase(address);
  return end;
}

int fleet::WaitForTargetExit(const std::string& address) {
  const int end = WaitForProcessExit(target_processes_.at(address));
  target_processes_.erase(address);
  return end;
}

std::string fleet::DaemonLog(const std::string& address) const {
  return ReadFile(directory_ + "/" + address + ".daemon.log");
}

void fleet::SetFaults(const std::string& json) {
  const auto server = Value(ParseEndpoint(PlatformAddress()));
  const auto set = http::SendBlocking(server, {"POST", "/control/faults", {}, json}, kCallTimeout);
  if (!Ok(set) || Value(set).status != 200)
    FailTest("the platform stand-in did not accept its faults");
}

std::uint64_t fleet::PlatformReads() const {
  const auto server = Value(ParseEndpoint(PlatformAddress()));
  const auto stats = http::SendBlocking(server, {"GET", "/control/stats", {}, ""}, kCallTimeout);
  return Ok(stats) ? ParseOrNull(Value(stats).body).at("reads").to_number<std::uint64_t>() : 0;
}

http::response fleet::SendToAdministration(const std::string& address, const std::string& method,
                                           const std::string& target,
                                           const std::string& body) const {
  http::request message{method, target, {}, body};
  message.headers["authorization"] = std::string("Bearer ") + kToken;
  auto response = http::SendBlocking({address, kAdministrationPort}, message, kCallTimeout);
  return Ok(response) ? Value(response) : http::response{0, {}, FormatError(Failure(response))};
}

http::response fleet::PutDocument(const std::string& address, const std::string& text,
                                  std::uint64_t expect, const std::string& change_id) {
  const std::string id = change_id.empty() ? RandomId() : change_id;
  return SendToAdministration(
      address, "PUT",
      "/v1/documents/slotboard?expect=" + std::to_string(expect) + "&change_id=" + id, text);
}

std::uint64_t fleet::VersionInForce(const std::string& address, const std::string& service) const {
  const bj::value body = ParseOrNull(SendToAdministration(address, "GET", "/v1/documents").body);
  if (!body.is_object() || !body.as_object().contains("documents")) return 0;
  for (const bj::value& each : body.at("documents").as_array()) {
    if (each.at("service").as_string() == service) {
      return each.at("version").to_number<std::uint64_t>();
    }
  }
  return 0;
}

void fleet::AwaitInForce(const std::string& address, std::uint64_t version) {
  WaitUntil("a version to come in force", [&] { return VersionInForce(address) >= version; });
}

void fleet::AwaitInForceEverywhere(std::uint64_t version) {
  for (const std::string& each : addresses_) AwaitInForce(each, version);
}

http::response fleet::SendToEntry(const std::string& address, const std::string& method,
                                  const std::string& target, const std::string& service,
                                  const http::header_map& headers) const {
  http::request message{method, target, headers, ""};
  message.headers["host"] = service;
  auto response = http::SendBlocking({address, kEntryPort}, message, kCallTimeout);
  return Ok(response) ? Value(response) : http::response{0, {}, FormatError(Failure(response))};
}

std::size_t fleet::CountReadyTargets(const std::string& address, const std::string& service) const {
  const bj::value body = ParseOrNull(SendToAdministration(address, "GET", "/v1/members").body);
  if (!body.is_object() || !body.as_object().contains("members")) return 0;
  std::size_t count = 0;
  for (const bj::value& each : body.at("members").as_array()) {
    const bj::object& member = each.as_object();
    const bool is_ready = member.contains("service") &&
                          member.at("service").as_string() == service &&
                          member.at("target_state") == "ready" && member.at("state") == "alive";
    if (is_ready) ++count;
  }
  return count;
}

void fleet::AwaitTargets(const std::string& address, std::size_t count,
                         const std::string& service) {
  WaitUntil("a daemon to know the ready targets",
            [&] { return CountReadyTargets(address, service) == count; });
}

load_settings fleet::LoadSettings(std::uint64_t seed, double seconds) {
  load_settings settings;
  for (const std::string& each : addresses_) settings.entries.push_back({each, kEntryPort});
  settings.callers = static_cast<std::int64_t>(addresses_.size()) * 2;
  settings.requests_per_s = 400;
  settings.mix = {1, 1, 0};
  settings.work_ms = 10;
  settings.seconds = seconds;
  settings.seed = seed;
  settings.ledger_path = directory_ + "/" + std::to_string(seed) + ".callers";
  return settings;
}

std::vector<std::string> fleet::ReadFiles(const std::string& extension) const {
  std::vector<std::string> texts;
  for (const auto& each : fs::directory_iterator(directory_)) {
    if (each.path().extension() != extension) continue;
    texts.push_back(ReadFile(each.path()));
  }
  return texts;
}

ledger_report fleet::CheckAllLedgers() const {
  const auto report = CheckLedgers(ReadFiles(".callers"), ReadFiles(".ledger"));
  if (!Ok(report)) FailTest(FormatError(Failure(report)));
  std::fprintf(stderr, "ledger %s\n", FormatReport(Value(report)).c_str());
  return Value(report);
}

std::size_t fleet::CountInTargetLedgers(const std::string& text) const {
  std::size_t count = 0;
  for (const std::string& ledger : ReadFiles(".ledger")) {
    for (auto at = ledger.find(text); at != std::string::npos; at = ledger.find(text, at + 1)) {
      ++count;
    }
  }
  return count;
}

}  // namespace catkinmoor
