// The operators' command line.

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "document/document.h"
#include "framework/base/digest.h"
#include "operator_client/operator_client.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;

constexpr milliseconds kWaitPoll{200};

constexpr const char* kFooter =
    "Exit codes: 0 done, 1 internal, 2 usage, 3 invalid document, 4 conflict, 5 undecided,\n"
    "6 unavailable, 7 not allowed, 8 timed out, 9 not found.\n"
    "The token is read from --token-file or from CATKINCTL_TOKEN.\n"
    "Examples:\n"
    "  catkinctl validate slotboard.json\n"
    "  catkinctl --daemon 127.1.0.1:9003 put slotboard.json --expect 0\n"
    "  catkinctl --daemon 127.1.0.1:9003 wait slotboard --timeout 9";

/// What every command was told.
struct common_options {
  std::vector<std::string> daemons;
  std::string token_file;
  bool json = false;
  std::int64_t timeout_ms = 10'000;
};

/// What single commands were told.
struct command_options {
  std::string file;
  std::string service;
  std::string change_id;
  std::uint64_t expect = 0;
  std::uint64_t version = 0;
  std::uint64_t other_version = 0;
  double wait_seconds = 30;
};

std::string Text(const bj::value& from, std::string_view name) {
  const bj::object* object = from.if_object();
  const bj::value* value = object == nullptr ? nullptr : object->if_contains(name);
  if (value == nullptr) return "";
  return value->is_string() ? std::string(value->as_string()) : bj::serialize(*value);
}

int Code(exit_code code) { return static_cast<int>(code); }

int FailWith(const error& failure) {
  std::cerr << Describe(failure) << "\n";
  return Code(failure.kind == error_kind::kInvalid ? exit_code::kUsage : exit_code::kUnavailable);
}

/// Prints what went wrong, every problem of a document included.
int Refuse(const operator_reply& reply) {
  const bj::object* body = reply.body.if_object();
  if (body != nullptr && body->contains("error")) {
    const bj::value& failure = body->at("error");
    std::cerr << Text(failure, "step") << ": " << Text(failure, "message") << "\n";
    if (body->contains("change_id")) {
      std::cerr << "change id " << Text(reply.body, "change_id") << "\n";
    }
    if (const bj::value* problems = body->if_contains("problems")) {
      for (const bj::value& each : problems->as_array()) {
        std::cerr << "  " << Text(each, "place") << ": " << Text(each, "message") << "\n";
      }
    }
  } else {
    std::cerr << "status " << reply.status << "\n";
  }
  return Code(ExitCodeOf(reply));
}

void PrintChange(const bj::value& change) {
  std::cout << Text(change, "service") << "  version " << Text(change, "version") << "  change "
            << Text(change, "change") << "  by " << Text(change, "author") << "  id "
            << Text(change, "change_id") << "\n";
}

void PrintStatus(const bj::value& status, std::ostream& to) {
  const bool everywhere = Text(status, "in_force_everywhere") == "true";
  to << Text(status, "service") << " version " << Text(status, "version")
     << (everywhere ? ": in force everywhere\n" : ": not yet in force everywhere\n");
  for (const bj::value& each : status.as_object().at("data_centres").as_array()) {
    to << "  " << std::left << std::setw(14) << Text(each, "region") << std::setw(16)
       << Text(each, "data_centre") << "in force " << std::setw(6) << Text(each, "in_force")
       << "behind " << std::setw(6) << Text(each, "behind") << "refused " << std::setw(6)
       << Text(each, "refused") << "unheard " << Text(each, "unheard") << "\n";
    for (const bj::value& slow : each.as_object().at("laggards").as_array()) {
      to << "      " << Text(slow, "vm") << ": " << Text(slow, "reason") << "\n";
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
    const auto reply =
        client_.Call("PUT",
                     "/v1/documents/" + service + "?expect=" + std::to_string(expect) +
                         "&change_id=" + change_id,
                     text);
    if (!Ok(reply) && Failure(reply).kind == error_kind::kUndecided) {
      std::cerr << Describe(Failure(reply)) << "\nchange id " << change_id << "\n";
      return Code(exit_code::kUndecided);
    }
    return Print(reply, PrintChange);
  }

  int Get(const std::string& service, std::uint64_t version) {
    return Print(Fetch(service, version),
                 [](const bj::value& body) { std::cout << Text(body, "text"); });
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
        std::cout << std::left << std::setw(24) << Text(each, "service") << "version "
                  << Text(each, "version") << "\n";
      }
    });
  }

  int Diff(const std::string& service, std::uint64_t left, std::uint64_t right) {
    const auto old_text = Fetch(service, left);
    const auto new_text = Fetch(service, right);
    for (const auto* each : {&old_text, &new_text}) {
      if (!Ok(*each)) return FailWith(Failure(*each));
      if (Value(*each).status != 200) return Refuse(Value(*each));
    }
    std::cout << DiffLines(Text(Value(old_text).body, "text"), Text(Value(new_text).body, "text"));
    return Code(exit_code::kOk);
  }

  int Restore(const std::string& service, std::uint64_t version, std::uint64_t expect) {
    const auto old_text = Fetch(service, version);
    if (!Ok(old_text)) return FailWith(Failure(old_text));
    if (Value(old_text).status != 200) return Refuse(Value(old_text));
    return Put(Text(Value(old_text).body, "text"), service, expect, "");
  }

  int Status(const std::string& service, std::uint64_t version) {
    return Print(AskStatus(service, version),
                 [](const bj::value& body) { PrintStatus(body, std::cout); });
  }

  int Wait(const std::string& service, std::uint64_t version, double seconds) {
    const time_point end =
        Now() + std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
    for (;;) {
      const auto reply = AskStatus(service, version);
      const bool heard = Ok(reply) && Value(reply).status == 200;
      if (heard && Text(Value(reply).body, "in_force_everywhere") == "true") {
        return Print(reply, [](const bj::value& body) { PrintStatus(body, std::cout); });
      }
      if (heard && !json_) ShowProgress(Value(reply).body);
      if (Ok(reply) && (Value(reply).status == 401 || Value(reply).status == 403)) {
        return Refuse(Value(reply));
      }
      if (Now() >= end) {
        std::cerr << "not in force everywhere within " << seconds << " s\n";
        return Code(exit_code::kTimeout);
      }
      std::this_thread::sleep_for(kWaitPoll);
    }
  }

  int Members() {
    return Print(client_.Call("GET", "/v1/members"), [](const bj::value& body) {
      for (const bj::value& each : body.as_object().at("members").as_array()) {
        std::cout << std::left << std::setw(20) << Text(each, "vm") << std::setw(14)
                  << Text(each, "region") << std::setw(16) << Text(each, "data_centre")
                  << std::setw(9) << Text(each, "state") << std::setw(16) << Text(each, "service")
                  << Text(each, "target_state") << "\n";
      }
    });
  }

  int Change(const std::string& change_id) {
    return Print(client_.Call("GET", "/v1/changes/" + change_id), [](const bj::value& body) {
      std::cout << Text(body, "outcome") << "\n";
      if (body.as_object().contains("accepted")) PrintChange(body.as_object().at("accepted"));
    });
  }

  int Quarantine(const std::string& release) {
    if (!release.empty()) {
      return Print(client_.Call("DELETE", "/v1/quarantine/" + release), [](const bj::value& body) {
        std::cout << "released " << Text(body, "released") << "\n";
      });
    }
    return Print(client_.Call("GET", "/v1/quarantine"), [](const bj::value& body) {
      for (const bj::value& each : body.as_object().at("quarantine").as_array()) {
        std::cout << Text(each, "fingerprint") << "  crashes " << Text(each, "crashes") << "\n";
      }
    });
  }

  int Drain() {
    return Print(client_.Call("POST", "/v1/drain"),
                 [](const bj::value&) { std::cout << "draining\n"; });
  }

 private:
  /// Prints a status to the error stream when it differs from the one printed last.
  void ShowProgress(const bj::value& status) {
    std::ostringstream text;
    PrintStatus(status, text);
    if (text.str() == shown_) return;
    shown_ = text.str();
    std::cerr << shown_;
  }

  result<operator_reply> Fetch(const std::string& service, std::uint64_t version) {
    const std::string query = version == 0 ? "" : "?version=" + std::to_string(version);
    return client_.Call("GET", "/v1/documents/" + service + query);
  }

  result<operator_reply> AskStatus(const std::string& service, std::uint64_t version) {
    const std::string query = version == 0 ? "" : "?version=" + std::to_string(version);
    return client_.Call("GET", "/v1/documents/" + service + "/status" + query);
  }

  template <typename Printer>
  int Print(const result<operator_reply>& reply, Printer&& printer) {
    if (!Ok(reply)) return FailWith(Failure(reply));
    const operator_reply& answer = Value(reply);
    if (json_) {
      std::cout << bj::serialize(answer.body) << "\n";
      return Code(ExitCodeOf(answer));
    }
    if (ExitCodeOf(answer) != exit_code::kOk) return Refuse(answer);
    printer(answer.body);
    return Code(exit_code::kOk);
  }

  operator_client client_;
  bool json_;
  std::string shown_;
};

int Validate(const std::string& file, bool print) {
  const auto text = json::ReadFile(file);
  if (!Ok(text)) {
    std::cerr << Describe(Failure(text)) << "\n";
    return Code(exit_code::kUsage);
  }
  const auto parsed = ParseDocument(Value(text));
  if (const auto* problems = std::get_if<json::problems>(&parsed)) {
    std::cerr << file << ":\n" << json::Describe(*problems) << "\n";
    return Code(exit_code::kInvalid);
  }
  if (print) std::cout << file << ": valid\n";
  return Code(exit_code::kOk);
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
  if (valid != Code(exit_code::kOk)) return valid;
  const std::string text = Value(json::ReadFile(options.file));
  const auto parsed = ParseDocument(text);
  return MakeRunner(common).Put(text, std::get<document>(parsed).service, options.expect,
                                options.change_id);
}

/// Adds a command that works on one service.
CLI::App* AddServiceCommand(CLI::App& app, const char* name, const char* description,
                            command_options& options) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("service", options.service, "Name of the service")->required();
  return command;
}

}  // namespace

int Run(int argc, char** argv) {
  CLI::App app("catkinctl: edit documents and see where they are in force");
  common_options common;
  command_options options;
  int code = 0;
  app.add_option("--daemon", common.daemons, "Daemons to ask, the next when one is not reached")
      ->envname("CATKINCTL_DAEMONS")
      ->delimiter(',');
  app.add_option("--token-file", common.token_file, "File that holds the team's token");
  app.add_option("--timeout-ms", common.timeout_ms, "Time for one call, in milliseconds")
      ->check(CLI::Range(1, 600'000));
  app.add_flag("--json", common.json, "Print JSON");
  app.set_version_flag("--version", CATKINMOOR_VERSION);
  app.footer(kFooter);
  app.require_subcommand(1);

  auto* validate = app.add_subcommand("validate", "Check a document without sending it");
  validate->add_option("file", options.file, "Document")->required();
  validate->callback([&] { code = Validate(options.file, true); });

  auto* put = app.add_subcommand("put", "Make a document the next version");
  put->add_option("file", options.file, "Document")->required();
  put->add_option("--expect", options.expect, "Version that is present, 0 for none")->required();
  put->add_option("--change-id", options.change_id, "Id by which to ask again");
  put->callback([&] { code = PutFile(common, options); });

  auto* get = AddServiceCommand(app, "get", "Print a document", options);
  get->add_option("--version-number", options.version, "Version, the one in force by default");
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

  auto* restore = AddServiceCommand(app, "restore", "Accept an old text as a new version", options);
  restore->add_option("old", options.version, "Version whose text to take")->required();
  restore->add_option("--expect", options.expect, "Version that is present")->required();
  restore->callback(
      [&] { code = MakeRunner(common).Restore(options.service, options.version, options.expect); });

  auto* status = AddServiceCommand(app, "status", "Show where a version is in force", options);
  status->add_option("--version-number", options.version, "Version, the newest by default");
  status->callback([&] { code = MakeRunner(common).Status(options.service, options.version); });

  auto* wait = AddServiceCommand(app, "wait", "Wait until in force everywhere", options);
  wait->add_option("--version-number", options.version, "Version, the newest by default");
  wait->add_option("--timeout", options.wait_seconds, "Seconds to wait at most")
      ->check(CLI::Range(0.0, 86'400.0));
  wait->callback([&] {
    code = MakeRunner(common).Wait(options.service, options.version, options.wait_seconds);
  });

  auto* members = app.add_subcommand("members", "List daemons and targets");
  members->callback([&] { code = MakeRunner(common).Members(); });

  auto* change = app.add_subcommand("change", "Find out what became of an undecided edit");
  change->add_option("id", options.change_id, "Change id")->required();
  change->callback([&] { code = MakeRunner(common).Change(options.change_id); });

  auto* quarantine = app.add_subcommand("quarantine", "List refused requests, or release one");
  quarantine->add_option("--release", options.change_id, "Fingerprint to let through again");
  quarantine->callback([&] { code = MakeRunner(common).Quarantine(options.change_id); });

  auto* drain = app.add_subcommand("drain", "Stop the first daemon named, gracefully");
  drain->callback([&] { code = MakeRunner(common).Drain(); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failed) {
    const int printed = app.exit(failed);
    return printed == 0 ? 0 : Code(exit_code::kUsage);
  }
  return code;
}

}  // namespace catkinmoor

int main(int argc, char** argv) { return catkinmoor::Run(argc, argv); }
