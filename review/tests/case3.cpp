/// A machine starts and lists the endpoints, in two pages, while endpoints of the first page report that they drain.

#include "deployment.h"
#include "endpoint.h"

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>

namespace {

using namespace review;

/// The endpoints of large/LATER.md by service.
const std::vector<std::pair<std::string, int>> services
    = {{"statusdesk", 504}, {"meldepost", 268}, {"holdplan", 136}, {"stikort", 82}};
constexpr std::size_t drainCount = 34; ///< The share of 0.25 of `scale_in`.
constexpr Milliseconds drainTimeout(2000);
constexpr Milliseconds stabilityWindow(3000);
/// An endpoint serves for `drain-timeout` "and a little longer (at times many seconds)".
constexpr Milliseconds servesOn(4000);
constexpr Milliseconds callInterval(12);
constexpr Milliseconds callDeadline(2000);

struct Draining
{
    Endpoint *endpoint = nullptr;
    std::int64_t acknowledgedAt = 0;
};

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
        startCalling();
        m_fleet.run(std::chrono::seconds(5));
        const auto drained = [this] { return !m_draining.empty(); };
        if (isTroubleWanted()) {
            restartFirst();
            if (!m_fleet.runUntil(drained, std::chrono::seconds(10)))
                return exitNotRun;
        } else {
            drain();
        }
        m_fleet.run(drainTimeout + servesOn);
        for (const Draining &each : m_draining)
            leave(each);
        m_fleet.run(std::chrono::seconds(3));
        return judge();
    }

private:
    bool setUp()
    {
        std::mt19937 random(34);
        std::vector<std::string> names;
        for (const auto &[service, count] : services) {
            names.push_back(service);
            for (int index = 0; index < count; ++index) {
                std::ostringstream id;
                id << "i-" << std::hex << std::setw(8) << std::setfill('0') << random();
                m_endpoints.push_back(std::make_unique<Endpoint>(m_fleet.context(), m_trace, id.str(), service));
                Endpoint &endpoint = *m_endpoints.back();
                endpoint.workTime = Milliseconds(450);
                if (!endpoint.listen())
                    return false;
                m_fleet.store().put("servers", endpoint.id(), endpoint.entry());
            }
        }
        m_fleet.store().put("config", "main",
                            configuration(7, names, {{"crew-dispatch", "/crew/", "holdplan", false}}));
        return startAll(m_fleet);
    }

    /// Crew dispatches at a steady rate, in turn to the machines that are in rotation.
    void startCalling()
    {
        m_timer.expires_after(callInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            m_next = (m_next + 1) % m_fleet.size();
            if (m_next != 0 || m_isFirstInRotation)
                m_fleet.send(m_next, "PUT", "/crew/dispatch", "order", callDeadline);
            startCalling();
        });
    }

    /// The machine's process is killed and starts again a second later.
    void restartFirst()
    {
        m_isFirstInRotation = false;
        m_fleet.kill(0);
        m_fleet.run(std::chrono::seconds(1));
        m_fleet.store().pageRead = [this](const std::string &kind, const std::string &after) {
            if (kind == "servers")
                m_trace.note(after.empty() ? "first page of a list read" : "next page of a list read");
            if (kind != "servers" || !after.empty() || !m_draining.empty())
                return;
            boost::asio::post(m_fleet.context(), [this] { drain(); });
        };
        m_fleet.start(0);
        m_isFirstInRotation = m_fleet.runUntil([this] { return m_fleet.isReady(0); }, std::chrono::seconds(5));
    }

    /// Endpoints of the service among the first 500 names report that they drain.
    void drain()
    {
        std::vector<std::string> names;
        for (const auto &endpoint : m_endpoints)
            names.push_back(endpoint->id());
        std::sort(names.begin(), names.end());
        const std::string &lastOfPage = names[499];
        for (const auto &endpoint : m_endpoints) {
            if (m_draining.size() == drainCount || endpoint->service() != "holdplan" || endpoint->id() > lastOfPage)
                continue;
            endpoint->announceLeaving();
            m_fleet.store().put("servers", endpoint->id(), endpoint->entry(true));
            m_draining.push_back({endpoint.get(), m_trace.now()});
            m_trace.note("draining endpoint=" + endpoint->id());
        }
    }

    void leave(const Draining &draining)
    {
        for (const std::string &id : draining.endpoint->running())
            m_cut.push_back(id);
        m_trace.note("exits endpoint=" + draining.endpoint->id());
        draining.endpoint->exit();
        m_fleet.store().remove("servers", draining.endpoint->id());
    }

    const Call *callOf(const std::string &id) const
    {
        const auto found = std::find_if(m_fleet.calls.begin(), m_fleet.calls.end(),
                                        [&id](const auto &call) { return call->id == id; });
        return found == m_fleet.calls.end() ? nullptr : found->get();
    }

    int judge()
    {
        std::size_t served = 0;
        for (const auto &call : m_fleet.calls)
            served += call->status == 200 ? 1 : 0;
        m_trace.report("calls " + std::to_string(m_fleet.calls.size()) + ", answered 200: " + std::to_string(served));
        std::vector<std::size_t> late(m_fleet.size());
        for (const Draining &draining : m_draining) {
            for (const Endpoint::Arrival &arrival : draining.endpoint->arrivals) {
                const Call *call = callOf(arrival.id);
                const bool isInTouch
                    = call != nullptr && call->sentAt > m_fleet.startedAt(call->daemon) + stabilityWindow.count();
                if (!isInTouch || arrival.at <= draining.acknowledgedAt + drainTimeout.count())
                    continue;
                ++late[call->daemon];
                m_trace.note("late " + arrival.id + " endpoint=" + draining.endpoint->id()
                             + " after_ms=" + std::to_string(arrival.at - draining.acknowledgedAt));
            }
        }
        std::size_t all = 0;
        for (std::size_t daemon = 0; daemon < late.size(); ++daemon) {
            all += late[daemon];
            m_trace.report("requests that reached a draining endpoint later than drain-timeout, by daemon "
                           + std::to_string(daemon) + " in touch: " + std::to_string(late[daemon]));
        }
        std::size_t lost = 0;
        for (const std::string &id : m_cut) {
            const Call *call = callOf(id);
            lost += call != nullptr && call->status != 200 ? 1 : 0;
        }
        m_trace.report("dispatches that were at work when a drained endpoint ended, and got no success: "
                       + std::to_string(lost));
        return all == 0 ? 0 : 1;
    }

    Trace m_trace;
    Fleet m_fleet;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<Draining> m_draining;
    std::vector<std::string> m_cut; ///< Requests under way at the end of a drained endpoint.
    boost::asio::steady_timer m_timer{m_fleet.context()};
    std::size_t m_next = 0;
    bool m_isFirstInRotation = true;
};

} // namespace

int main(int, char **argv)
{
    return Case(argv[1]).run();
}
