#include "catkintack/net/http_store.hpp"

#include <httplib.h>

#include <charconv>

namespace catkintack::net {
namespace {

namespace leaf = boost::leaf;
using config::config_error;
using config::config_error_kind;
using config::stored_value;
using config::swap_result;

constexpr const char* revision_header = "Store-Revision";
constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

std::int64_t milliseconds_of(base::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

class http_store final : public config::store {
 public:
  explicit http_store(const http_store_options& options) : options_(options) {}

  leaf::result<stored_value> read(const std::string& key) override {
    httplib::Client client = make_client(options_.timeout);
    const auto answer = client.Get("/v1/kv/" + key);
    if (!answer) {
      return unavailable(httplib::to_string(answer.error()));
    }
    if (answer->status == status_not_found) {
      return stored_value{};
    }
    return value_of(*answer);
  }

  leaf::result<swap_result> compare_and_swap(const std::string& key,
                                             std::uint64_t expected_revision,
                                             const std::string& value) override {
    httplib::Client client = make_client(options_.timeout);
    const std::string path = "/v1/kv/" + key + "?revision=" + std::to_string(expected_revision);
    const auto answer = client.Put(path, value, "application/json");
    if (!answer) {
      return write_failed(key, answer.error());
    }
    if (answer->status == status_ok) {
      return swap_result::applied;
    }
    if (answer->status == status_conflict) {
      return swap_result::conflict;
    }
    if (answer->status == status_unavailable) {
      return unavailable("status 503");
    }
    return leaf::new_error(config_error{config_error_kind::write_unknown,
                                        "store answered the write of \"" + key + "\" with status " +
                                            std::to_string(answer->status)});
  }

  leaf::result<std::optional<stored_value>> watch(const std::string& key,
                                                  std::uint64_t after_revision,
                                                  base::duration wait) override {
    httplib::Client client = make_client(options_.timeout + wait);
    const std::string path = "/v1/watch/" + key + "?after=" + std::to_string(after_revision) +
                             "&wait_ms=" + std::to_string(milliseconds_of(wait));
    const auto answer = client.Get(path);
    if (!answer) {
      return unavailable(httplib::to_string(answer.error()));
    }
    if (answer->status == status_no_content) {
      return std::optional<stored_value>{};
    }
    BOOST_LEAF_AUTO(value, value_of(*answer));
    return std::optional<stored_value>(std::move(value));
  }

  leaf::result<bool> hold_lease(const std::string& key,
                                const std::string& value,
                                base::duration time_to_live) override {
    httplib::Client client = make_client(options_.timeout);
    const std::string path =
        "/v1/lease/" + key + "?ttl_ms=" + std::to_string(milliseconds_of(time_to_live));
    const auto answer = client.Put(path, value, "text/plain");
    if (!answer) {
      return unavailable(httplib::to_string(answer.error()));
    }
    if (answer->status == status_ok || answer->status == status_conflict) {
      return answer->status == status_ok;
    }
    return unavailable("status " + std::to_string(answer->status));
  }

 private:
  httplib::Client make_client(base::duration timeout) const {
    httplib::Client client(options_.address.ip, options_.address.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(
        std::chrono::duration_cast<std::chrono::seconds>(options_.timeout).count());
    client.set_read_timeout(timeout);
    client.set_write_timeout(options_.timeout);
    return client;
  }

  leaf::error_id unavailable(const std::string& cause) const {
    return leaf::new_error(
        config_error{config_error_kind::store_unavailable,
                     "store " + base::to_string(options_.address) + " is unavailable: " + cause});
  }

  leaf::error_id write_failed(const std::string& key, httplib::Error error) const {
    const std::string cause = httplib::to_string(error);
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
      return unavailable(cause);
    }
    return leaf::new_error(config_error{config_error_kind::write_unknown,
                                        "store " + base::to_string(options_.address) +
                                            " did not answer the write of \"" + key +
                                            "\": " + cause});
  }

  leaf::result<stored_value> value_of(const httplib::Response& answer) const {
    if (answer.status != status_ok) {
      return unavailable("status " + std::to_string(answer.status));
    }
    const std::string revision = answer.get_header_value(revision_header);
    stored_value value{answer.body, 0};
    const char* const end = revision.data() + revision.size();
    const auto [rest, error] = std::from_chars(revision.data(), end, value.revision);
    if (error != std::errc{} || rest != end) {
      return unavailable("missing or invalid Store-Revision header");
    }
    return value;
  }

  http_store_options options_;
};

}  // namespace

std::unique_ptr<config::store> make_http_store(const http_store_options& options) {
  return std::make_unique<http_store>(options);
}

}  // namespace catkintack::net
