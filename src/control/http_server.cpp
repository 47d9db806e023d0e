#include "control/http_server.h"

#include "base/log.h"
#include "control/limits.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t initial_read_bytes = 4 * 1024;
// Delay after a failed accept, which usually means that no file descriptors are left.
constexpr time_ms accept_retry_delay{100};

} // namespace

http_response make_response(http::status status, std::string body, std::string_view content_type) {
    http_response out(status, 11);
    out.set(http::field::content_type, content_type);
    out.body() = std::move(body);
    return out;
}

// One client connection; handles one request at a time.
class http_server::session : public std::enable_shared_from_this<http_server::session> {
  public:
    session(asio::ip::tcp::socket socket, std::shared_ptr<http_server> server)
        : stream_(std::move(socket)), server_(std::move(server)) {
        ++server_->connections_;
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    ~session() { --server_->connections_; }

    void wait_for_request() {
        stream_.expires_after(std::chrono::milliseconds(server_->limits_.idle_timeout));
        if (buffer_.size() > 0)
            return read();
        stream_.async_read_some(
            buffer_.prepare(initial_read_bytes),
            [self = shared_from_this()](beast::error_code error, std::size_t size) {
                if (error)
                    return;
                self->buffer_.commit(size);
                self->read();
            });
    }

  private:
    void read() {
        parser_.emplace();
        parser_->header_limit(max_request_header_bytes);
        parser_->body_limit(server_->limits_.max_body_bytes);
        stream_.expires_after(std::chrono::milliseconds(server_->limits_.request_timeout));
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = shared_from_this()](beast::error_code error, std::size_t) {
                                    self->handle_header(error);
                                });
    }

    // Beast 1.81 aborts the process if the last chunk arrives in parts, so chunked bodies are
    // rejected before any chunk is parsed.
    void handle_header(beast::error_code error) {
        if (error)
            return handle_read(error);
        if (parser_->chunked()) {
            keep_alive_ = false;
            return write(make_response(http::status::length_required, "", "text/plain"));
        }
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code failed, std::size_t) {
                             self->handle_read(failed);
                         });
    }

    void handle_read(beast::error_code error) {
        keep_alive_ = !error && parser_->get().keep_alive();
        if (error == http::error::body_limit)
            return write(make_response(http::status::payload_too_large, "", "text/plain"));
        if (error == http::error::header_limit)
            return write(
                make_response(http::status::request_header_fields_too_large, "", "text/plain"));
        if (error == http::error::end_of_stream || error == beast::error::timeout)
            return;
        if (error)
            return write(make_response(http::status::bad_request, "", "text/plain"));
        stream_.expires_never();
        request_ = parser_->release();
        server_->handler_(request_, [self = shared_from_this()](http_response response) {
            asio::dispatch(self->stream_.get_executor(),
                           [self, response = std::move(response)]() mutable {
                               self->write(std::move(response));
                           });
        });
    }

    void write(http_response response) {
        response_ = std::move(response);
        keep_alive_ = keep_alive_ && !server_->stopped_;
        response_.version(11);
        response_.keep_alive(keep_alive_);
        response_.prepare_payload();
        if (request_.method() == http::verb::head)
            response_.body().clear();
        stream_.expires_after(std::chrono::milliseconds(server_->limits_.request_timeout));
        http::async_write(stream_, response_,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (!error && self->keep_alive_)
                                  self->wait_for_request();
                              else
                                  self->shut_down();
                          });
    }

    void shut_down() {
        beast::error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream stream_;
    std::shared_ptr<http_server> server_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http_request request_;
    http_response response_;
    bool keep_alive_ = false;
};

http_server::http_server(asio::io_context& context, http_limits limits, http_handler handler)
    : context_(context), acceptor_(asio::make_strand(context)),
      accept_timer_(acceptor_.get_executor()), limits_(limits), handler_(std::move(handler)) {}

std::string http_server::listen(const asio::ip::tcp::endpoint& local) {
    boost::system::error_code error;
    acceptor_.open(local.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(local, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error.message();
    port_ = acceptor_.local_endpoint().port();
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] { self->accept(); });
    return {};
}

void http_server::stop() {
    stopped_ = true;
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
        self->accept_timer_.cancel();
    });
}

void http_server::accept() {
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (!self->acceptor_.is_open())
                return;
            if (!error) {
                const auto executor = socket.get_executor();
                if (self->connections_ < self->limits_.max_connections)
                    asio::dispatch(executor,
                                   [item = std::make_shared<session>(std::move(socket), self)] {
                                       item->wait_for_request();
                                   });
                return self->accept();
            }
            log_event(log_level::warning, "accept_failed").field("reason", error.message());
            self->accept_timer_.expires_after(std::chrono::milliseconds(accept_retry_delay));
            self->accept_timer_.async_wait([self](boost::system::error_code timer_error) {
                if (!timer_error)
                    self->accept();
            });
        });
}

} // namespace clementine::control
