#pragma once

#include <sardinehinge/core/membership/feedhistory.h>
#include <sardinehinge/edges/gatewayedges.h>
#include <sardinehinge/http/client.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::daemon {

/// Hands what this daemon's watches brought to the daemons that don't watch the store, and reads it from those that do.
/// Single-threaded, on its io_context.
class FeedRelay
{
public:
    enum class Kind { Configs, Targets };
    using Answers = std::vector<core::FeedAnswer>;

    FeedRelay(boost::asio::io_context &context, const edges::GatewaySettings &settings);

    /// Keeps an answer of this daemon's watch.
    void add(Kind kind, core::FeedAnswer answer, core::StoreEra era);
    /// Returns the response to another daemon's request; std::nullopt if the request is for something else. Status 404:
    /// the answers aren't all known here; 503: this daemon's link has no room for them.
    std::optional<http::Response> respond(const http::Request &request, core::Time now);
    /// Reads the answers after `revision` from the daemon whose datagrams come from `peerAddress`. Passes none if it
    /// doesn't have them all, or doesn't answer in time; with the response's status, 0 without one.
    void read(const std::string &peerAddress, Kind kind, std::uint64_t revision, core::StoreEra era,
              std::function<void(Answers, int status)> done);

private:
    http::Client m_client;
    std::string m_port; ///< Of all daemons' metrics addresses; ports are the same on all instances.
    core::RelayBudget m_budget;
    std::array<core::FeedHistory, 2> m_histories;
};

} // namespace sardinehinge::daemon
