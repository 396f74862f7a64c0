// Command line client for operators.

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>
#include <vector>

#include "document/document.h"
#include "framework/base/build_info.h"
#include "framework/base/digest.h"
#include "operator_client/operator_client.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;

constexpr milliseconds kStatusPollInterval{200};

constexpr const char* kFooter =
    "Exit codes: 0 success, 1 internal error, 2 usage error, 3 invalid document, 4 conflict,\n"
    "5 undecided, 6 unavailable, 7 not allowed, 8 timed out, 9 not found.\n"
    "The token is read from --token-file or from CATKINCTL_TOKEN.\n"
    "Examples:\n"
    "  catkinctl validate slotboard.json\n"
    "  catkinctl --daemon 127.1.0.1:9003 put slotboard.json --expect 0\n"
    "  catkinctl --daemon 127.1.0.1:9003 wait slotboard --timeout 9";

/// Options common to all commands.
struct common_options {
  std::vector<std::string> daemons;
  std::string token_file;
  bool json = false;
  std::int64_t timeout_ms = 10'000;
};

/// Options of single commands.
struct command_options {
  std::string file;
  std::string service;
  std::string change_id;
  std::uint64_t expect = 0;
  std::uint64_t version = 0;
  std::uint64_t other_version = 0;
  double wait_seconds = 30;
};

std::string FieldText(const bj::value& from, std::string_view name) {
  const bj::object* object = from.if_object();
  const bj::value* value = object == nullptr ? nullptr : object->if_contains(name);
  if (value == nullptr) return "";
  return value->is_string() ? std::string(value->as_string()) : bj::serialize(*value);
}

int ToInt(exit_code code) { return static_cast<int>(code); }

int PrintFailure(const error& failure) {
  std::cerr << FormatError(failure) << "\n";
  return ToInt(failure.kind == error_kind::kInvalid ? exit_code::kUsage : exit_code::kUnavailable);
}

/// Prints the error of a response, with every problem of the document. Returns the exit code.
int PrintErrorResponse(const operator_response& response) {
  const bj::object* body = response.body.if_object();
  if (body != nullptr && body->contains("error")) {
    const bj::value& failure = body->at("error");
    std::cerr << FieldText(failure, "step") << ": " << FieldText(failure, "message") << "\n";
    if (body->contains("change_id")) {
      std::cerr << "change id " << FieldText(response.body, "change_id") << "\n";
    }
    if (const bj::value* problems = body->if_contains("problems")) {
      for (const bj::value& each : problems->as_array()) {
        std::cerr << "  " << FieldText(each, "place") << ": " << FieldText(each, "message") << "\n";
      }
    }
  } else {
    std::cerr << "request failed with HTTP status " << response.status << "\n";
  }
  return ToInt(ExitCodeOf(response));
}

void PrintChange(const bj::value& change) {
  std::cout << FieldText(change, "service") << "  version " << FieldText(change, "version")
            << "  change " << FieldText(change, "change") << "  by " << FieldText(change, "author")
            << "  id " << FieldText(change, "change_id") << "\n";
}

void PrintStatus(const bj::value& status, std::ostream& to) {
  const bool everywhere = FieldText(status, "in_force_everywhere") == "true";
  to << FieldText(status, "service") << " version " << FieldText(status, "version")
     << (everywhere ? ": in force everywhere\n" : ": not yet in force everywhere\n");
  for (const bj::value& each : status.as_object().at("data_centres").as_array()) {
    to << "  " << std::left << std::setw(14) << FieldText(each, "region") << std::setw(16)
       << FieldText(each, "data_centre") << "in force " << std::setw(6)
       << FieldText(each, "in_force") << "behind " << std::setw(6) << FieldText(each, "behind")
       << "refused " << std::setw(6) << FieldText(each, "refused") << "unheard "
       << FieldText(each, "unheard") << "\n";
    for (const bj::value& lagging : each.as_object().at("laggards").as_array()) {
      to << "      " << FieldText(lagging, "vm") << ": " << FieldText(lagging, "reason") << "\n";
    }
  }
}

/// Runs the commands against one client.
class command_runner {
 public:
  command_runner(operator_client client, bool json) : client_(std::move(client)), json_(json) {}

  int Put(const std::string& text, const std::string& service, std::uint64_t expect,
          std::string change_id) {
    if (change_id.empty()) change_id = RandomId();
    const auto response =
        client_.Call("PUT",
                     "/v1/documents/" + service + "?expect=" + std::to_string(expect) +
                         "&change_id=" + change_id,
                     text);
    if (!Ok(response) && Failure(response).kind == error_kind::kUndecided) {
      std::cerr << FormatError(Failure(response)) << "\nchange id " << change_id << "\n";
      return ToInt(exit_code::kUndecided);
    }
    return Print(response, PrintChange);
  }

  int Get(const std::string& service, std::uint64_t version) {
    return Print(FetchDocument(service, version),
                 [](const bj::value& body) { std::cout << FieldText(body, "text"); });
  }

  int History(const std::string& service) {
    return Print(client_.Call("GET", "/v1/documents/" + service + "/history"),
                 [](const bj::value& body) {
                   for (const bj::value& each : body.as_object().at("history").as_array()) {
                     PrintChange(each);
                   }
                 });
  }

  int List() {
    return Print(client_.Call("GET", "/v1/documents"), [](const bj::value& body) {
      for (const bj::value& each : body.as_object().at("documents").as_array()) {
        std::cout << std::left << std::setw(24) << FieldText(each, "service") << "version "
                  << FieldText(each, "version") << "\n";
      }
    });
  }

  int Diff(const std::string& service, std::uint64_t left, std::uint64_t right) {
    const auto old_text = FetchDocument(service, left);
    const auto new_text = FetchDocument(service, right);
    for (const auto* each : {&old_text, &new_text}) {
      if (!Ok(*each)) return PrintFailure(Failure(*each));
      if (Value(*each).status != 200) return PrintErrorResponse(Value(*each));
    }
    std::cout << DiffLines(FieldText(Value(old_text).body, "text"),
                           FieldText(Value(new_text).body, "text"));
    return ToInt(exit_code::kOk);
  }

  int Restore(const std::string& service, std::uint64_t version, std::uint64_t expect) {
    const auto old_text = FetchDocument(service, version);
    if (!Ok(old_text)) return PrintFailure(Failure(old_text));
    if (Value(old_text).status != 200) return PrintErrorResponse(Value(old_text));
    return Put(FieldText(Value(old_text).body, "text"), service, expect, "");
  }

  int Status(const std::string& service, std::uint64_t version) {
    return Print(FetchStatus(service, version),
                 [](const bj::value& body) { PrintStatus(body, std::cout); });
  }

  int Wait(const std::string& service, std::uint64_t version, double seconds) {
    const time_point deadline =
        Now() + std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
    for (;;) {
      const auto response = FetchStatus(service, version);
      const bool has_status = Ok(response) && Value(response).status == 200;
      if (has_status && FieldText(Value(response).body, "in_force_everywhere") == "true") {
        return Print(response, [](const bj::value& body) { PrintStatus(body, std::cout); });
      }
      if (has_status && !json_) PrintChangedStatus(Value(response).body);
      if (Ok(response) && (Value(response).status == 401 || Value(response).status == 403)) {
        return PrintErrorResponse(Value(response));
      }
      if (Now() >= deadline) {
        std::cerr << "timed out: not in force everywhere within " << seconds << " s\n";
        return ToInt(exit_code::kTimeout);
      }
      std::this_thread::sleep_for(kStatusPollInterval);
    }
  }

  int Members() {
    return Print(client_.Call("GET", "/v1/members"), [](const bj::value& body) {
      for (const bj::value& each : body.as_object().at("members").as_array()) {
        std::cout << std::left << std::setw(20) << FieldText(each, "vm") << std::setw(14)
                  << FieldText(each, "region") << std::setw(16) << FieldText(each, "data_centre")
                  << std::setw(9) << FieldText(each, "state") << std::setw(16)
                  << FieldText(each, "service") << FieldText(each, "target_state") << "\n";
      }
    });
  }

  int Builds() {
    return Print(client_.Call("GET", "/v1/members"), [](const bj::value& body) {
      std::map<std::string, std::vector<std::string>> daemons;
      for (const bj::value& each : body.as_object().at("members").as_array()) {
        const std::string state = FieldText(each, "state");
        if (state != "alive" && state != "suspect") continue;
        const std::string build = FieldText(each, "build");
        daemons[build.empty() ? "not stated" : build].push_back(FieldText(each, "vm"));
      }
      for (const auto& [build, vms] : daemons) {
        std::cout << build << "  " << vms.size() << (vms.size() == 1 ? " daemon\n" : " daemons\n");
        for (const std::string& vm : vms) std::cout << "    " << vm << "\n";
      }
    });
  }

  int Change(const std::string& change_id) {
    return Print(client_.Call("GET", "/v1/changes/" + change_id), [](const bj::value& body) {
      std::cout << FieldText(body, "outcome") << "\n";
      if (body.as_object().contains("accepted")) PrintChange(body.as_object().at("accepted"));
    });
  }

  int Quarantine(const std::string& release) {
    if (!release.empty()) {
      return Print(client_.Call("DELETE", "/v1/quarantine/" + release), [](const bj::value& body) {
        std::cout << "released " << FieldText(body, "released") << "\n";
      });
    }
    return Print(client_.Call("GET", "/v1/quarantine"), [](const bj::value& body) {
      for (const bj::value& each : body.as_object().at("quarantine").as_array()) {
        std::cout << FieldText(each, "fingerprint") << "  crashes " << FieldText(each, "crashes")
                  << "\n";
      }
    });
  }

  /// The evidence is known to the conductor only, which the other daemons name.
  int Rollout(const std::string& service) {
    return Print(client_.Call("GET", "/v1/rollouts/" + service), [](const bj::value& body) {
      const bool conducts = body.as_object().at("conducts").as_bool();
      std::cout << FieldText(body, "service") << " to " << FieldText(body, "target") << "  "
                << FieldText(body, "phase") << "  share " << FieldText(body, "share")
                << "\nreason     " << FieldText(body, "reason") << "\nconductor  "
                << FieldText(body, "conductor") << ", heard " << FieldText(body, "heard_ms_ago")
                << " ms ago\n";
      if (!conducts) return;
      std::cout << "requests   " << FieldText(body, "requests") << ", to the target "
                << FieldText(body, "exposed") << ", granted " << FieldText(body, "granted") << "\n";
      for (const bj::value& each : body.as_object().at("routes").as_array()) {
        const bj::value& target = each.as_object().at("target");
        const bj::value& others = each.as_object().at("others");
        std::cout << "route " << FieldText(each, "route") << "  bad " << FieldText(target, "bad")
                  << " of " << FieldText(target, "requests") << ", other versions "
                  << FieldText(others, "bad") << " of " << FieldText(others, "requests") << "\n";
      }
    });
  }

  int Drain() {
    return Print(client_.Call("POST", "/v1/drain"),
                 [](const bj::value&) { std::cout << "draining\n"; });
  }

 private:
  /// Prints a status to standard error if it differs from the last one printed.
  void PrintChangedStatus(const bj::value& status) {
    std::ostringstream text;
    PrintStatus(status, text);
    if (text.str() == last_status_) return;
    last_status_ = text.str();
    std::cerr << last_status_;
  }

  result<operator_response> FetchDocument(const std::string& service, std::uint64_t version) {
    const std::string query = version == 0 ? "" : "?version=" + std::to_string(version);
    return client_.Call("GET", "/v1/documents/" + service + query);
  }

  result<operator_response> FetchStatus(const std::string& service, std::uint64_t version) {
    const std::string query = version == 0 ? "" : "?version=" + std::to_string(version);
    return client_.Call("GET", "/v1/documents/" + service + "/status" + query);
  }

  template <typename Printer>
  int Print(const result<operator_response>& response, Printer&& printer) {
    if (!Ok(response)) return PrintFailure(Failure(response));
    const operator_response& received = Value(response);
    if (json_) {
      std::cout << bj::serialize(received.body) << "\n";
      return ToInt(ExitCodeOf(received));
    }
    if (ExitCodeOf(received) != exit_code::kOk) return PrintErrorResponse(received);
    printer(received.body);
    return ToInt(exit_code::kOk);
  }

  operator_client client_;
  bool json_;
  std::string last_status_;
};

int Validate(const std::string& file, bool print) {
  const auto text = json::ReadFile(file);
  if (!Ok(text)) {
    std::cerr << FormatError(Failure(text)) << "\n";
    return ToInt(exit_code::kUsage);
  }
  const auto parsed = ParseDocument(Value(text));
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    std::cerr << file << ":\n" << json::FormatProblems(*problems) << "\n";
    return ToInt(exit_code::kInvalid);
  }
  if (print) std::cout << file << ": valid\n";
  return ToInt(exit_code::kOk);
}

std::string ReadToken(const std::string& file) {
  if (file.empty()) {
    const char* token = std::getenv("CATKINCTL_TOKEN");
    return token == nullptr ? "" : token;
  }
  auto text = json::ReadFile(file);
  std::string token = Ok(text) ? Value(text) : "";
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) token.pop_back();
  return token;
}

std::vector<endpoint> ParseDaemons(const std::vector<std::string>& names) {
  std::vector<endpoint> daemons;
  for (const std::string& each : names) {
    const auto parsed = ParseEndpoint(each);
    if (!Ok(parsed)) throw CLI::ValidationError("--daemon", Failure(parsed).message);
    daemons.push_back(Value(parsed));
  }
  return daemons;
}

command_runner MakeRunner(const common_options& common) {
  return {operator_client(ParseDaemons(common.daemons), ReadToken(common.token_file),
                          milliseconds(common.timeout_ms)),
          common.json};
}

int PutFile(const common_options& common, const command_options& options) {
  const int valid = Validate(options.file, false);
  if (valid != ToInt(exit_code::kOk)) return valid;
  const std::string text = Value(json::ReadFile(options.file));
  const auto parsed = ParseDocument(text);
  return MakeRunner(common).Put(text, std::get<document>(parsed).service, options.expect,
                                options.change_id);
}

/// Adds a command that takes the name of a service.
CLI::App* AddServiceCommand(CLI::App& app, const char* name, const char* description,
                            command_options& options) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("service", options.service, "Name of the service")->required();
  return command;
}

}  // namespace

int Run(int argc, char** argv) {
  CLI::App app("catkinctl: edit documents and check where they are in force");
  common_options common;
  command_options options;
  int code = 0;
  app.add_option("--daemon", common.daemons,
                 "Daemons to send requests to; the next one is tried if one cannot be reached")
      ->envname("CATKINCTL_DAEMONS")
      ->delimiter(',');
  app.add_option("--token-file", common.token_file, "File that contains the team's token");
  app.add_option("--timeout-ms", common.timeout_ms, "Timeout of one call, in milliseconds")
      ->check(CLI::Range(1, 600'000));
  app.add_flag("--json", common.json, "Print responses as JSON");
  app.set_version_flag("--version", FormatBuildInfo(ThisBuild()));
  app.footer(kFooter);
  app.require_subcommand(1);

  auto* validate = app.add_subcommand("validate", "Check a document without sending it");
  validate->add_option("file", options.file, "Document")->required();
  validate->callback([&] { code = Validate(options.file, true); });

  auto* put = app.add_subcommand("put", "Store a document as the next version");
  put->add_option("file", options.file, "Document")->required();
  put->add_option("--expect", options.expect, "Current version, 0 if there is none")->required();
  put->add_option("--change-id", options.change_id,
                  "Id to query the outcome by; random by default");
  put->callback([&] { code = PutFile(common, options); });

  auto* get = AddServiceCommand(app, "get", "Print a document", options);
  get->add_option("--version-number", options.version,
                  "Version to print; the one in force by default");
  get->callback([&] { code = MakeRunner(common).Get(options.service, options.version); });

  auto* list = app.add_subcommand("list", "List the documents in force");
  list->callback([&] { code = MakeRunner(common).List(); });

  auto* history = AddServiceCommand(app, "history", "List accepted versions", options);
  history->callback([&] { code = MakeRunner(common).History(options.service); });

  auto* diff = AddServiceCommand(app, "diff", "Compare two versions", options);
  diff->add_option("from", options.version, "Older version")->required();
  diff->add_option("to", options.other_version, "Newer version")->required();
  diff->callback([&] {
    code = MakeRunner(common).Diff(options.service, options.version, options.other_version);
  });

  auto* restore = AddServiceCommand(app, "restore",
                                    "Store the text of an old version as a new version", options);
  restore->add_option("old", options.version, "Version whose text is stored again")->required();
  restore->add_option("--expect", options.expect, "Current version")->required();
  restore->callback(
      [&] { code = MakeRunner(common).Restore(options.service, options.version, options.expect); });

  auto* status = AddServiceCommand(app, "status", "Show where a version is in force", options);
  status->add_option("--version-number", options.version,
                     "Version to check; the newest by default");
  status->callback([&] { code = MakeRunner(common).Status(options.service, options.version); });

  auto* wait =
      AddServiceCommand(app, "wait", "Wait until a version is in force everywhere", options);
  wait->add_option("--version-number", options.version, "Version to check; the newest by default");
  wait->add_option("--timeout", options.wait_seconds, "Maximum time to wait, in seconds")
      ->check(CLI::Range(0.0, 86'400.0));
  wait->callback([&] {
    code = MakeRunner(common).Wait(options.service, options.version, options.wait_seconds);
  });

  auto* members = app.add_subcommand("members", "List daemons and targets");
  members->callback([&] { code = MakeRunner(common).Members(); });

  auto* builds = app.add_subcommand("builds", "List the builds that run, and the daemons of each");
  builds->callback([&] { code = MakeRunner(common).Builds(); });

  auto* change = app.add_subcommand("change", "Show the outcome of an undecided edit");
  change->add_option("id", options.change_id, "Change id")->required();
  change->callback([&] { code = MakeRunner(common).Change(options.change_id); });

  auto* quarantine = app.add_subcommand("quarantine", "List quarantined requests, or release one");
  quarantine->add_option("--release", options.change_id, "Fingerprint of the request to release");
  quarantine->callback([&] { code = MakeRunner(common).Quarantine(options.change_id); });

  auto* rollout = app.add_subcommand("rollout", "State and evidence of a service's rollout");
  rollout->add_option("service", options.service, "Service")->required();
  rollout->callback([&] { code = MakeRunner(common).Rollout(options.service); });

  auto* drain = app.add_subcommand("drain", "Drain and stop the first daemon named");
  drain->callback([&] { code = MakeRunner(common).Drain(); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failed) {
    const int printed = app.exit(failed);
    return printed == 0 ? 0 : ToInt(exit_code::kUsage);
  }
  return code;
}

}  // namespace catkinmoor

int main(int argc, char** argv) { return catkinmoor::Run(argc, argv); }
