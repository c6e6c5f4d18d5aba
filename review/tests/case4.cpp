/// Endpoints fail part of the requests that they have begun to work on, with a status that callers take as a promise
/// that a request has not run.

#include "deployment.h"
#include "endpoint.h"

#include <algorithm>
#include <map>

namespace {

using namespace review;

constexpr int endpointCount = 9;
/// `srv_grey` of the site file: x = 0.45 of the requests, on a share of 0.14 of the endpoints, so on one of nine.
constexpr double failedShare = 0.45;
constexpr Milliseconds callInterval(10);
constexpr Milliseconds callDeadline(3000);
constexpr Milliseconds playTime(10000);

class Case
{
public:
    explicit Case(const std::string &record)
        : m_trace(record)
        , m_fleet(m_trace, 3)
    {
    }

    int run()
    {
        if (!setUp())
            return exitNotRun;
        m_fleet.run(std::chrono::seconds(2));
        call();
        m_fleet.run(playTime);
        m_timer.cancel();
        m_fleet.run(callDeadline + Milliseconds(500));
        return judge();
    }

private:
    bool setUp()
    {
        for (int index = 0; index < endpointCount; ++index) {
            m_endpoints.push_back(std::make_unique<Endpoint>(m_fleet.context(), m_trace,
                                                             "i-5a3c910" + std::to_string(index), "meldepost"));
            if (!m_endpoints.back()->listen())
                return false;
            m_fleet.store().put("servers", m_endpoints.back()->id(), m_endpoints.back()->entry());
        }
        if (isTroubleWanted()) {
            m_endpoints.front()->answers = [this](const auto &, sardinehinge::http::Response &response) {
                m_failures += failedShare;
                if (m_failures < 1)
                    return;
                m_failures -= 1;
                response.status = 503;
                response.body = "the reports' database is not available";
            };
        }
        m_fleet.store().put("config", "main",
                            configuration(7, {"meldepost"}, {{"report-file", "/report/", "meldepost", false}}));
        return startAll(m_fleet);
    }

    void call()
    {
        m_timer.expires_after(callInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            m_next = (m_next + 1) % m_fleet.size();
            m_fleet.send(m_next, "POST", "/report/new", "a fallen willow", callDeadline);
            call();
        });
    }

    int judge()
    {
        std::map<std::string, int> runs;
        for (const auto &endpoint : m_endpoints) {
            for (const Endpoint::Arrival &arrival : endpoint->arrivals)
                runs[arrival.id] += arrival.hasRun ? 1 : 0;
        }
        std::map<int, int> statuses;
        int broken = 0;
        for (const auto &call : m_fleet.calls) {
            ++statuses[call->status];
            const bool isPromise
                = call->status == 429 || call->status == 503 || call->status == 408 || call->status == 421;
            if (!isPromise || runs[call->id] == 0)
                continue;
            ++broken;
            m_trace.note("told not run, but has run: " + call->id);
        }
        for (const auto &[status, count] : statuses)
            m_trace.report("answers with status " + std::to_string(status) + ": " + std::to_string(count));
        m_trace.report("requests that ran and were answered as not run: " + std::to_string(broken));
        return broken == 0 ? 0 : 1;
    }

    Trace m_trace;
    Fleet m_fleet;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    boost::asio::steady_timer m_timer{m_fleet.context()};
    std::size_t m_next = 0;
    double m_failures = 0;
};

} // namespace

int main(int, char **argv)
{
    return Case(argv[1]).run();
}
