#include "loadoptions.h"
#include "loadreport.h"

#include <sardinehinge/edges/ownershipcodec.h>
#include <sardinehinge/http/client.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio/steady_timer.hpp>

#include <cmath>
#include <fstream>
#include <iostream>
#include <random>

/// Sends requests at a given rate, whether answers come or not, and measures each from its intended sending.
namespace sardinehinge::benchmark {

namespace {

using Clock = std::chrono::steady_clock;

double milliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Popularity of keys: key i weighs 1 / (i + 1)^exponent.
std::discrete_distribution<int> keyDistribution(int keys, double exponent)
{
    std::vector<double> weights;
    for (int key = 0; key < std::max(keys, 1); ++key)
        weights.push_back(1.0 / std::pow(key + 1.0, exponent));
    return {weights.begin(), weights.end()};
}

class LoadGenerator
{
public:
    explicit LoadGenerator(LoadOptions options)
        : m_options(std::move(options))
        , m_client(m_context, clientLimits())
        , m_timer(m_context)
        , m_random(m_options.seed)
        , m_keys(keyDistribution(m_options.keys, m_options.zipf))
        , m_history(m_options.historyFile, std::ios::app)
        , m_lastGood(static_cast<std::size_t>(std::max(m_options.keys, 1)))
    {
    }

    void run()
    {
        m_start = Clock::now();
        m_next = m_start;
        sendDue();
        m_context.run();
        report();
    }

private:
    static http::ClientLimits clientLimits()
    {
        http::ClientLimits limits;
        limits.idleConnections = 512;
        return limits;
    }

    double rateAt(Clock::time_point time) const
    {
        const double part = milliseconds(time - m_start) / 1000 / m_options.seconds;
        const bool isPeak = m_options.peakRate > 0 && part >= 1.0 / 3 && part < 2.0 / 3;
        return isPeak ? m_options.peakRate : m_options.rate;
    }

    void sendDue()
    {
        const auto end
            = m_start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(m_options.seconds));
        while (m_next <= Clock::now() && m_next < end) {
            sendOne(m_next);
            const double gap = 1.0 / rateAt(m_next);
            m_next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap));
        }
        if (m_next >= end)
            return;
        m_timer.expires_at(m_next);
        m_timer.async_wait([this](const boost::system::error_code &) { sendDue(); });
    }

    /// Keys that are all alike are taken in turn, so that the gaps between answers of one key mean something.
    int nextKey()
    {
        if (m_options.keys <= 0)
            return -1;
        return m_options.zipf > 0 ? m_keys(m_random)
                                  : static_cast<int>(m_sent % static_cast<std::uint64_t>(m_options.keys));
    }

    void sendOne(Clock::time_point intended)
    {
        const int key = nextKey();
        const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.longShare;
        const std::string id = m_options.name + "-" + std::to_string(m_sent);
        std::string target = m_options.path;
        const auto addQuery = [&target](const std::string &item) {
            target += (target.find('?') == std::string::npos ? "?" : "&") + item;
        };
        if (key >= 0)
            addQuery("key=k" + std::to_string(key));
        if (isLong)
            addQuery("workMs=" + std::to_string(m_options.longMs));
        else if (m_options.workMs > 0)
            addQuery("workMs=" + std::to_string(m_options.workMs));
        http::Request request{m_options.method, target, {{edges::requestIdHeader, id}}, {}, {}};
        request.headers.emplace_back("Sardinehinge-Caller", m_options.caller);
        const std::string &address = m_options.addresses[m_sent % m_options.addresses.size()];
        ++m_sent;
        m_client.send(address, request, std::chrono::milliseconds(m_options.timeoutMs),
                      [this, id, key, isLong, intended](const http::ExchangeResult &end) {
                          finish(id, key, isLong, intended, end);
                      });
    }

    void finish(const std::string &id, int key, bool isLong, Clock::time_point intended,
                const http::ExchangeResult &end)
    {
        const auto now = Clock::now();
        const double taken = milliseconds(now - intended);
        const QJsonObject body = QJsonDocument::fromJson(QByteArray::fromStdString(end.response.body)).object();
        std::string outcome = "unknown";
        if (end.outcome == http::ExchangeOutcome::NotSent || end.outcome == http::ExchangeOutcome::ConnectionRefused)
            outcome = "not_run";
        else if (end.outcome == http::ExchangeOutcome::Complete && end.response.status == 200)
            outcome = "done";
        else if (end.outcome == http::ExchangeOutcome::Complete && body.contains("error"))
            outcome = body.value("error").toObject().value("outcome").toString().toStdString();
        ++m_outcomes[outcome];
        if (outcome == "done") {
            (isLong ? m_longTimes : m_shortTimes).add(taken);
            m_good += taken <= m_options.goodMs ? 1 : 0;
            noteKey(key, now);
        }
        if (m_options.historyFile.empty())
            return;
        const QJsonObject line{{"kind", "answer"},
                               {"request", QString::fromStdString(id)},
                               {"idempotent", m_options.isIdempotent},
                               {"outcome", QString::fromStdString(outcome)},
                               {"echo", body.value("requestId")},
                               {"status", end.response.status},
                               {"fault",
                                end.outcome == http::ExchangeOutcome::Complete
                                    ? body.value("error").toObject().value("detail").toString()
                                    : QString::fromStdString(end.detail)}};
        m_history << QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString() << '\n';
    }

    /// The time between two answers for one key bounds how long it was away.
    void noteKey(int key, Clock::time_point now)
    {
        if (key < 0)
            return;
        auto &last = m_lastGood[static_cast<std::size_t>(key)];
        if (last != Clock::time_point{})
            m_gaps.add(milliseconds(now - last));
        last = now;
    }

    void report()
    {
        const std::string &name = m_options.name;
        printFigure(name + "_sent", static_cast<double>(m_sent), "requests");
        for (const char *outcome : {"done", "not_run", "unknown"})
            printFigure(name + "_" + outcome, static_cast<double>(m_outcomes[outcome]), "requests");
        printFigure(name + "_good", static_cast<double>(m_good), "requests");
        printFigure(name + "_p50", m_shortTimes.quantile(0.5), "ms");
        printFigure(name + "_p99", m_shortTimes.quantile(0.99), "ms");
        printFigure(name + "_max", m_shortTimes.max(), "ms");
        if (m_longTimes.count() != 0)
            printFigure(name + "_long_p99", m_longTimes.quantile(0.99), "ms");
        if (m_options.keys > 0)
            printFigure(name + "_key_gap_max", m_gaps.max(), "ms");
    }

    LoadOptions m_options;
    boost::asio::io_context m_context{1};
    http::Client m_client;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::discrete_distribution<int> m_keys;
    std::ofstream m_history;
    Clock::time_point m_start;
    Clock::time_point m_next;
    std::uint64_t m_sent = 0;
    std::uint64_t m_good = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    TimeHistogram m_shortTimes;
    TimeHistogram m_longTimes;
    TimeHistogram m_gaps;
    std::vector<Clock::time_point> m_lastGood;
};

} // namespace

} // namespace sardinehinge::benchmark

int main(int argc, char **argv)
{
    using namespace sardinehinge;
    auto options = benchmark::parseLoadOptions(argc, const_cast<const char **>(argv));
    if (const core::Error *error = core::errorIn(options)) {
        std::cerr << "loadgen: " << error->detail << '\n';
        return 2;
    }
    benchmark::LoadGenerator(std::get<benchmark::LoadOptions>(std::move(options))).run();
    return 0;
}
