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

/// The program's one writer. A process that ends by a signal loses what is still queued.
line_writer& Writer() {
  static line_writer writer(STDOUT_FILENO);
  return writer;
}

/// Prints each message of glog as one JSON line. Our own messages are JSON objects already and are
/// merged; a library's plain text becomes the value of "event".
class json_line_sink : public google::LogSink {
 public:
  explicit json_line_sink(std::string program) : program_(std::move(program)) {}

  void send(google::LogSeverity severity, const char* /*full_filename*/, const char* /*base*/,
            int /*line*/, const google::LogMessageTime& when, const char* message,
            size_t length) override {
    boost::json::object entry;
    char stamp[32];
    const std::time_t seconds = when.timestamp();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    const std::size_t used = std::strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(stamp + used, sizeof(stamp) - used, ".%03dZ", when.usec() / 1000);
    entry["time"] = stamp;
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

std::string Line(std::string_view event, std::initializer_list<item> items) {
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
  LOG(INFO) << Line(event, items);
}

void Warning(std::string_view event, std::initializer_list<item> items) {
  LOG(WARNING) << Line(event, items);
}

void Warning(std::string_view event, const error& failure) {
  Warning(event, {{"kind", KindName(failure.kind)},
                  {"step", failure.step},
                  {"peer", failure.peer},
                  {"message", failure.message}});
}

}  // namespace catkinmoor::logging
