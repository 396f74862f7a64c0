#include "framework/logging/log.h"

#include <glog/logging.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ctime>

#include "framework/logging/internal/line_writer.h"

namespace catkinmoor::logging {
namespace {

/// The only writer of the process. A process killed by a signal loses the lines still queued.
line_writer& Writer() {
  static line_writer writer(STDOUT_FILENO);
  return writer;
}

/// Writes each glog message as one line of JSON. Messages of this project are JSON objects already,
/// and their members are merged in; the plain text of a library becomes the value of "event".
class json_line_sink : public google::LogSink {
 public:
  explicit json_line_sink(std::string program) : program_(std::move(program)) {}

  void send(google::LogSeverity severity, const char* /*full_filename*/, const char* /*base*/,
            int /*line*/, const google::LogMessageTime& when, const char* message,
            size_t length) override {
    boost::json::object entry;
    char timestamp_text[32];
    const std::time_t seconds = when.timestamp();
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    const std::size_t seconds_length =
        std::strftime(timestamp_text, sizeof(timestamp_text), "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(timestamp_text + seconds_length, sizeof(timestamp_text) - seconds_length,
                  ".%03dZ", when.usec() / 1000);
    entry["time"] = timestamp_text;
    entry["level"] = google::GetLogSeverityName(severity);
    entry["program"] = program_;
    std::string line = boost::json::serialize(entry);
    const std::string_view text(message, length);
    if (!text.empty() && text.front() == '{') {
      line.back() = ',';
      line.append(text.substr(1));
    } else {
      entry["event"] = text;
      line = boost::json::serialize(entry);
    }
    line.push_back('\n');
    Writer().Write(std::move(line));
  }

 private:
  std::string program_;
};

std::string FormatLine(std::string_view event, std::initializer_list<item> items) {
  boost::json::object entry;
  entry["event"] = event;
  for (const item& each : items) {
    std::visit([&](const auto& value) { entry[each.name] = value; }, each.value);
  }
  return boost::json::serialize(entry);
}

}  // namespace

void Start(const std::string& program, bool verbose) {
  static const std::string kProgram = program;
  static json_line_sink sink(kProgram);
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  FLAGS_minloglevel = verbose ? google::GLOG_INFO : google::GLOG_WARNING;
  google::InitGoogleLogging(kProgram.c_str());
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(&sink);
}

std::uint64_t DroppedLines() { return Writer().Dropped(); }

void Info(std::string_view event, std::initializer_list<item> items) {
  LOG(INFO) << FormatLine(event, items);
}

void Warning(std::string_view event, std::initializer_list<item> items) {
  LOG(WARNING) << FormatLine(event, items);
}

void Warning(std::string_view event, const error& failure) {
  Warning(event, {{"kind", ErrorKindName(failure.kind)},
                  {"step", failure.step},
                  {"peer", failure.peer},
                  {"message", failure.message}});
}

}  // namespace catkinmoor::logging
