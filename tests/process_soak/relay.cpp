#include "process_soak/relay.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>

namespace clementine::process_soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr time_ms forwarding_delay{150};

} // namespace

class relay::session : public std::enable_shared_from_this<relay::session> {
  public:
    session(tcp::socket client, asio::io_context& loop, std::shared_ptr<relay> owner)
        : client_(std::move(client)), worker_(loop), owner_(std::move(owner)) {}

    void start(const tcp::endpoint& target) {
        worker_.async_connect(target, [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return self->close();
            self->forward(self->client_, self->worker_, self->request_buffer_, true);
            self->forward(self->worker_, self->client_, self->response_buffer_, false);
        });
    }

    void reset() {
        boost::system::error_code ignored;
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        worker_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

  private:
    using buffer = std::array<char, 16 * 1024>;

    void close() {
        boost::system::error_code ignored;
        client_.close(ignored);
        worker_.close(ignored);
    }

    bool drops(bool is_request) const {
        return owner_->mode_ == relay_mode::all_dropped ||
               (owner_->mode_ == relay_mode::responses_dropped && !is_request);
    }

    void forward(tcp::socket& from, tcp::socket& to, buffer& bytes, bool is_request) {
        from.async_read_some(
            asio::buffer(bytes), [this, self = shared_from_this(), &from, &to, &bytes,
                                  is_request](boost::system::error_code error, std::size_t size) {
                if (error)
                    return close();
                if (drops(is_request))
                    return forward(from, to, bytes, is_request);
                auto timer = std::make_shared<asio::steady_timer>(from.get_executor());
                timer->expires_after(std::chrono::milliseconds(
                    owner_->mode_ == relay_mode::delayed ? forwarding_delay : 0));
                timer->async_wait([this, self, timer, &from, &to, &bytes, size,
                                   is_request](boost::system::error_code) {
                    asio::async_write(to, asio::buffer(bytes, size),
                                      [this, self, &from, &to, &bytes,
                                       is_request](boost::system::error_code failed, std::size_t) {
                                          if (failed)
                                              return close();
                                          forward(from, to, bytes, is_request);
                                      });
                });
            });
    }

    tcp::socket client_;
    tcp::socket worker_;
    std::shared_ptr<relay> owner_;
    buffer request_buffer_{};
    buffer response_buffer_{};
};

relay::relay(asio::io_context& loop, tcp::endpoint target)
    : loop_(loop), acceptor_(loop), target_(std::move(target)) {}

void relay::listen(const std::string& ip) {
    const tcp::endpoint local(asio::ip::make_address(ip), 0);
    acceptor_.open(local.protocol());
    acceptor_.bind(local);
    acceptor_.listen();
    accept();
}

void relay::accept() {
    acceptor_.async_accept([self = shared_from_this()](boost::system::error_code error,
                                                       tcp::socket socket) {
        if (error)
            return;
        auto connection = std::make_shared<session>(std::move(socket), self->loop_, self);
        std::erase_if(self->sessions_, [](const auto& candidate) { return candidate.expired(); });
        self->sessions_.push_back(connection);
        connection->start(self->target_);
        self->accept();
    });
}

void relay::reset() {
    for (const auto& connection : sessions_) {
        if (const auto session = connection.lock())
            session->reset();
    }
}

void relay::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    reset();
}

} // namespace clementine::process_soak
