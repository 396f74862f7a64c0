#include "stand_in/target_stand_in.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <fstream>

#include "framework/base/digest.h"
#include "framework/base/endpoint.h"
#include "framework/http/client.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
namespace bj = boost::json;
using json::field;

constexpr auto kAwait = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kBlockBytes = 64U << 10U;
constexpr milliseconds kDrainPoll{20};
constexpr milliseconds kDrainTimeout{30'000};
constexpr milliseconds kAnnounceTimeout{1'000};
constexpr double kMaxMs = 600'000;

using ts = target_settings;
const std::array<field<ts>, 12> kFields = {{
    {"service", &ts::service, "Service that the target belongs to.", true, 1},
    {"instance", &ts::instance, "Identifier of this run of the target; random if empty."},
    {"address", &ts::address, "Listening address, as address:port.", true, 1},
    {"daemon", &ts::daemon, "The daemon's local endpoint, as address:port.", true, 1},
    {"exit", &ts::exit, "The daemon's exit, as address:port."},
    {"labels", &ts::labels, "Labels, such as its version."},
    {"slots", &ts::slots, "Maximum number of concurrent requests.", false, 1, 100'000},
    {"work_ms", &ts::work, "Simulated work for each request.", false, 0, kMaxMs},
    {"cold_start_ms", &ts::cold_start, "Time from the start of the target until it is ready.",
     false, 0, kMaxMs},
    {"renew_ms", &ts::announce_interval, "Interval between announcements.", false, 10, kMaxMs},
    {"ledger", &ts::ledger_path, "Ledger file to which every executed request is appended."},
    {"crash_path", &ts::crash_path, "Path at which a request crashes the process."},
}};

/// The parts of a request that the stand-in uses.
struct received_request {
  std::string method;
  std::string path;
  std::string query;
  std::string request_id;
  std::string attempt;
  std::string depth;
  std::string deadline;
  std::string range;
  std::uint64_t body_bytes = 0;
  std::string body_digest;
  bool keep_alive = true;
};

std::uint64_t ParseNumberAfter(const std::string& text, const std::string& name) {
  const auto found = text.find(name);
  return found == std::string::npos
             ? 0
             : std::strtoull(text.c_str() + found + name.size(), nullptr, 10);
}

}  // namespace

std::variant<target_settings, json::problems> ParseTargetSettings(std::string_view text) {
  auto parsed = json::ParseWithComments(text);
  if (auto* failed = std::get_if<json::problems>(&parsed)) return *failed;
  target_settings settings;
  json::problems problems;
  json::ReadObject<ts>(std::get<bj::value>(parsed), "", kFields, settings, problems);
  for (const auto& [pointer, value] :
       {std::pair("/address", settings.address), std::pair("/daemon", settings.daemon)}) {
    if (!Ok(ParseEndpoint(value))) json::AddProblem(problems, pointer, "must be address:port");
  }
  if (!problems.empty()) return problems;
  if (settings.instance.empty()) settings.instance = RandomId();
  return settings;
}

class target_stand_in::impl : public std::enable_shared_from_this<target_stand_in::impl> {
 public:
  explicit impl(target_settings settings)
      : settings_(std::move(settings)),
        daemon_(Value(ParseEndpoint(settings_.daemon))),
        acceptor_(context_),
        signals_(context_, SIGTERM, SIGINT),
        ready_at_(Now() + settings_.cold_start) {
    if (!settings_.ledger_path.empty()) ledger_.open(settings_.ledger_path, std::ios::app);
  }

  result<done> Run() {
    const endpoint listen_endpoint = Value(ParseEndpoint(settings_.address));
    beast::error_code failed;
    const auto address = asio::ip::make_address(listen_endpoint.address, failed);
    if (!failed) acceptor_.open(asio::ip::tcp::v4(), failed);
    if (!failed) acceptor_.set_option(asio::socket_base::reuse_address(true), failed);
    if (!failed) acceptor_.bind({address, listen_endpoint.port}, failed);
    if (!failed) acceptor_.listen(asio::socket_base::max_listen_connections, failed);
    if (failed) {
      return error{error_kind::kUnavailable, "listen", settings_.address, failed.message()};
    }
    asio::co_spawn(context_, Accept(), asio::detached);
    asio::co_spawn(context_, AnnouncePeriodically(), asio::detached);
    signals_.async_wait([self = shared_from_this()](const beast::error_code& stopped, int) {
      if (!stopped) asio::co_spawn(self->context_, self->Drain(), asio::detached);
    });
    context_.run();
    return done{};
  }

 private:
  asio::awaitable<void> Accept() {
    const auto self = shared_from_this();
    for (;;) {
      auto [failed, socket] = co_await acceptor_.async_accept(kAwait);
      if (failed) co_return;
      beast::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      asio::co_spawn(context_, Serve(self, beast::tcp_stream(std::move(socket))), asio::detached);
    }
  }

  asio::awaitable<result<http::response>> Announce(std::string state) {
    bj::object labels;
    for (const auto& [name, value] : settings_.labels) labels[name] = value;
    http::request message{"POST", "/v1/target", {}, ""};
    message.body = bj::serialize(bj::object{{"service", settings_.service},
                                            {"instance", settings_.instance},
                                            {"address", settings_.address},
                                            {"labels", std::move(labels)},
                                            {"state", state},
                                            {"slots", settings_.slots}});
    co_return co_await client_.Send(daemon_, std::move(message), kAnnounceTimeout);
  }

  asio::awaitable<void> AnnouncePeriodically() {
    asio::steady_timer timer(context_);
    while (!draining_) {
      const bool ready = Now() >= ready_at_;
      const auto announced = co_await Announce(ready ? "ready" : "starting");
      if (!Ok(announced))
        logging::Warning("announcement to the daemon failed, retrying", Failure(announced));
      timer.expires_after(ready ? settings_.announce_interval
                                : std::min(settings_.announce_interval, milliseconds(100)));
      co_await timer.async_wait(kAwait);
    }
  }

  /// Announces that the target is leaving, serves the requests that still arrive, and stops once
  /// neither the target nor its gate, if that can be reached, has an active request, or after
  /// kDrainTimeout.
  asio::awaitable<void> Drain() {
    draining_ = true;
    co_await Announce("leaving");
    const time_point deadline = Now() + kDrainTimeout;
    asio::steady_timer timer(context_);
    bool idle = false;
    while (!idle && Now() < deadline) {
      timer.expires_after(kDrainPoll);
      co_await timer.async_wait(kAwait);
      const auto announced = co_await Announce("leaving");
      const bool gate_idle =
          !Ok(announced) || Value(announced).body.find("\"active\":0") != std::string::npos;
      idle = active_ == 0 && gate_idle;
    }
    context_.stop();
  }

  static asio::awaitable<void> Serve(std::shared_ptr<impl> self, beast::tcp_stream stream) {
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive) {
      bhttp::request_parser<bhttp::buffer_body> parser;
      parser.body_limit(boost::none);
      auto [failed, count] = co_await bhttp::async_read_header(stream, buffer, parser, kAwait);
      if (failed) co_return;
      ++self->active_;
      keep_alive = co_await self->Handle(stream, buffer, parser);
      --self->active_;
    }
  }

  asio::awaitable<bool> Handle(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                               bhttp::request_parser<bhttp::buffer_body>& parser) {
    received_request request = ParseRequest(parser.get());
    request.keep_alive = parser.keep_alive();
    if (!settings_.crash_path.empty() && request.path == settings_.crash_path) {
      AppendToLedger(request);
      std::abort();
    }
    std::string body;
    std::vector<char> block(kBlockBytes);
    while (!parser.is_done()) {
      parser.get().body().data = block.data();
      parser.get().body().size = block.size();
      auto [failed, count] = co_await bhttp::async_read_some(stream, buffer, parser, kAwait);
      if (failed && failed != bhttp::error::need_buffer) co_return false;
      const std::size_t got = block.size() - parser.get().body().size;
      request.body_bytes += got;
      if (body.size() < kBlockBytes) body.append(block.data(), got);
    }
    request.body_digest = Sha256Hex(body);
    AppendToLedger(request);
    const std::uint64_t work = std::max<std::uint64_t>(settings_.work.count(),
                                                       ParseNumberAfter(request.query, "work_ms="));
    if (work > 0) {
      asio::steady_timer timer(context_, milliseconds(work));
      co_await timer.async_wait(kAwait);
    }
    if (request.path == "/bytes") co_return co_await SendBytes(stream, request);
    if (request.path.rfind("/call/", 0) == 0) co_return co_await CallService(stream, request);
    co_return co_await SendSummary(stream, request, 200, "");
  }

  static received_request ParseRequest(const bhttp::request<bhttp::buffer_body>& message) {
    const std::string target(message.target());
    const auto query_start = target.find('?');
    received_request request;
    request.method = std::string(message.method_string());
    request.path = target.substr(0, query_start);
    request.query = query_start == std::string::npos ? "" : target.substr(query_start + 1);
    request.request_id = std::string(message["x-request-id"]);
    request.attempt = std::string(message["x-catkinmoor-attempt"]);
    request.depth = std::string(message["x-catkinmoor-depth"]);
    request.deadline = std::string(message["x-catkinmoor-deadline-ms"]);
    request.range = std::string(message[bhttp::field::range]);
    return request;
  }

  /// Writes and flushes one line before the response is sent, so that the ledger of a killed target
  /// has every request that it executed.
  void AppendToLedger(const received_request& request) {
    if (!ledger_.is_open()) return;
    ledger_ << bj::serialize(bj::object{{"request", request.request_id},
                                        {"attempt", request.attempt},
                                        {"method", request.method},
                                        {"path", request.path},
                                        {"service", settings_.service},
                                        {"instance", settings_.instance},
                                        {"at_ms", UnixMilliseconds()}})
            << std::endl;
  }

  asio::awaitable<bool> SendSummary(beast::tcp_stream& stream, const received_request& request,
                                    unsigned status, std::string inner) {
    bhttp::response<bhttp::string_body> message(static_cast<bhttp::status>(status), 11);
    message.set(bhttp::field::content_type, "application/json");
    message.body() = bj::serialize(bj::object{{"service", settings_.service},
                                              {"instance", settings_.instance},
                                              {"request", request.request_id},
                                              {"method", request.method},
                                              {"path", request.path},
                                              {"depth", request.depth},
                                              {"deadline_ms", request.deadline},
                                              {"body_bytes", request.body_bytes},
                                              {"body_digest", request.body_digest},
                                              {"inner", inner}}) +
                     "\n";
    message.keep_alive(request.keep_alive);
    message.prepare_payload();
    if (request.method == "HEAD") message.body().clear();
    auto [failed, count] = co_await bhttp::async_write(stream, message, kAwait);
    co_return !failed && request.keep_alive;
  }

  asio::awaitable<bool> SendBytes(beast::tcp_stream& stream, const received_request& request) {
    const std::uint64_t total = ParseNumberAfter(request.query, "count=");
    const std::uint64_t first = ParseNumberAfter(request.range, "bytes=");
    const bool partial = !request.range.empty() && first < total;
    const std::uint64_t begin = partial ? first : 0;
    bhttp::response<bhttp::buffer_body> message(
        partial ? bhttp::status::partial_content : bhttp::status::ok, 11);
    message.set(bhttp::field::etag, "\"pattern-" + std::to_string(total) + "\"");
    message.set(bhttp::field::accept_ranges, "bytes");
    message.content_length(total - begin);
    if (partial) {
      message.set(bhttp::field::content_range, "bytes " + std::to_string(begin) + "-" +
                                                   std::to_string(total - 1) + "/" +
                                                   std::to_string(total));
    }
    message.keep_alive(request.keep_alive);
    bhttp::response_serializer<bhttp::buffer_body> serializer(message);
    message.body().data = nullptr;
    message.body().more = total > begin && request.method != "HEAD";
    auto [head_failed, head_count] = co_await bhttp::async_write_header(stream, serializer, kAwait);
    if (head_failed) co_return false;
    if (request.method == "HEAD") co_return request.keep_alive;
    std::vector<char> block(kBlockBytes);
    for (std::uint64_t sent = begin; sent < total;) {
      const std::uint64_t count = std::min<std::uint64_t>(block.size(), total - sent);
      for (std::uint64_t i = 0; i < count; ++i) block[i] = PatternByte(sent + i);
      sent += count;
      message.body().data = block.data();
      message.body().size = count;
      message.body().more = sent < total;
      auto [failed, written] = co_await bhttp::async_write(stream, serializer, kAwait);
      if (failed && failed != bhttp::error::need_buffer) co_return false;
    }
    co_return request.keep_alive;
  }

  asio::awaitable<bool> CallService(beast::tcp_stream& stream, const received_request& request) {
    const std::string service_and_path = request.path.substr(6);
    const auto slash = service_and_path.find('/');
    const auto exit = ParseEndpoint(settings_.exit);
    if (slash == std::string::npos || !Ok(exit)) {
      co_return co_await SendSummary(
          stream, request, 400, "path names no service or path to call, or the exit is not set");
    }
    http::request message{"GET", service_and_path.substr(slash), {}, ""};
    message.headers["host"] = service_and_path.substr(0, slash);
    message.headers["x-request-id"] = request.request_id;
    message.headers["x-catkinmoor-depth"] = request.depth;
    message.headers["x-catkinmoor-deadline-ms"] = request.deadline;
    const milliseconds remaining(std::strtoll(request.deadline.c_str(), nullptr, 10));
    const auto response = co_await client_.Send(Value(exit), std::move(message), remaining);
    if (!Ok(response)) {
      co_return co_await SendSummary(stream, request, 502,
                                     catkinmoor::FormatError(Failure(response)));
    }
    co_return co_await SendSummary(stream, request, Value(response).status, Value(response).body);
  }

  target_settings settings_;
  endpoint daemon_;
  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_;
  asio::signal_set signals_;
  http::client client_;
  time_point ready_at_;
  std::ofstream ledger_;
  std::size_t active_ = 0;
  bool draining_ = false;
};

target_stand_in::target_stand_in(target_settings settings)
    : impl_(std::make_shared<impl>(std::move(settings))) {}

target_stand_in::~target_stand_in() = default;

result<done> target_stand_in::Run() { return impl_->Run(); }

}  // namespace catkinmoor
