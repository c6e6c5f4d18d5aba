#include "endpoint.h"

#include <utility>

namespace review {

using namespace sardinehinge;

namespace {

constexpr std::size_t slots = 6;
constexpr std::size_t queueLength = 24;

http::ServerLimits endpointLimits()
{
    http::ServerLimits limits;
    limits.headerBytes = 64 * 1024;
    limits.bodyBytes = 64ULL * 1024 * 1024;
    limits.readTimeout = std::chrono::seconds(30);
    limits.idleTimeout = std::chrono::seconds(10); // As `idle_close_ms` of the site files.
    return limits;
}

} // namespace

Endpoint::Endpoint(boost::asio::io_context &context, Trace &trace, std::string id, std::string service)
    : m_context(context)
    , m_trace(trace)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server(std::make_unique<http::Server>(context, static_cast<http::RequestHandler &>(*this), endpointLimits()))
{
}

Endpoint::~Endpoint() = default;

bool Endpoint::listen()
{
    const auto listening = m_server->listen("127.0.0.1:0");
    m_address = "127.0.0.1:" + std::to_string(m_server->port());
    return core::errorIn(listening) == nullptr;
}

QJsonObject Endpoint::entry(bool isDraining)
{
    return {{"service", QString::fromStdString(m_service)},
            {"address", QString::fromStdString(m_address)},
            {"zone", "gudena"},
            {"version", "v1"},
            {"capacity-slots", static_cast<int>(slots)},
            {"state", isDraining ? "draining" : "ready"},
            {"warmup-left", "0ms"},
            {"sequence", ++m_sequence},
            {"born", static_cast<qint64>(m_born)}};
}

void Endpoint::exit()
{
    if (std::exchange(m_hasEnded, true))
        return;
    m_server->drain();
    for (const auto &[number, work] : std::exchange(m_running, {}))
        work.responder->abort();
    for (const Work &work : std::exchange(m_queue, {}))
        work.responder->abort();
    for (const auto &responder : std::exchange(m_unanswered, {}))
        responder->abort();
}

std::vector<std::string> Endpoint::running() const
{
    std::vector<std::string> ids;
    for (const auto &[number, work] : m_running)
        ids.push_back(work.id);
    return ids;
}

http::Response Endpoint::rejection(int status, const std::string &detail, const std::string &)
{
    return {status, {}, detail};
}

void Endpoint::handle(std::uint64_t, http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (m_hasEnded)
        return responder->abort();
    if (m_isSilent) {
        m_unanswered.push_back(std::move(responder));
        return;
    }
    const std::string id = http::headerValue(request.headers, "X-Attempt-Id").value_or(std::string());
    const auto refuse = [&](int status) {
        m_trace.note("refused " + id + " endpoint=" + m_id + " status=" + std::to_string(status));
        http::Response refusal{status, {{"X-Not-Executed", "1"}, {"X-Instance-Id", m_id}, {"X-Attempt-Id", id}}, {}};
        if (m_isLeaving)
            refusal.headers.emplace_back("Server-Leaving", "1");
        responder->send(std::move(refusal));
    };
    const std::string wanted = http::headerValue(request.headers, "X-Target-Instance").value_or(m_id);
    if (wanted != m_id)
        return refuse(421);
    arrivals.push_back({id, std::string(http::pathOf(request.target)), m_trace.now(), false});
    if (m_running.size() >= slots && m_queue.size() >= queueLength)
        return refuse(503);
    m_queue.push_back({id, std::move(request), std::move(responder), arrivals.size() - 1});
    startNext();
}

void Endpoint::startNext()
{
    while (!m_hasEnded && !m_isSilent && m_running.size() < slots && !m_queue.empty()) {
        Work work = std::move(m_queue.front());
        m_queue.pop_front();
        arrivals[work.arrival].hasRun = true;
        m_trace.note("run " + work.id + " endpoint=" + m_id + " " + work.request.method + " " + work.request.target);
        if (begins && begins(*this, work.id, work.request)) {
            m_unanswered.push_back(std::move(work.responder));
            continue;
        }
        const std::uint64_t number = m_nextWork++;
        m_running.emplace(number, std::move(work));
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, workTime);
        timer->async_wait([this, timer, number](const boost::system::error_code &error) {
            if (!error)
                finish(number);
        });
    }
}

void Endpoint::finish(std::uint64_t number)
{
    const auto found = m_running.find(number);
    if (found == m_running.end() || m_isSilent)
        return;
    const Work work = std::move(found->second);
    m_running.erase(found);
    http::Response response{
        200, {{"X-Attempt-Id", work.id}, {"X-Server-Signature", m_id + "." + work.id}}, "answer to " + work.id};
    if (m_isLeaving)
        response.headers.emplace_back("Server-Leaving", "1");
    m_trace.note("answered " + work.id + " endpoint=" + m_id + " status=" + std::to_string(response.status));
    work.responder->send(std::move(response));
    startNext();
}

} // namespace review
