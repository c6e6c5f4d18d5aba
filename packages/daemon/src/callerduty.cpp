#include "callerduty.h"

#include "errorresponse.h"

namespace sardinehinge::daemon {

namespace {

constexpr std::string_view readyPath = "/health/ready";
constexpr std::string_view alivePath = "/health/alive";

} // namespace

CallerDuty::CallerDuty(const Settings &settings, Forward forward)
    : m_settings(settings)
    , m_forward(std::move(forward))
    , m_server(m_worker.context(), *this, settings.callerLimits)
    , m_answers(settings.callerLimits.connections + 1, m_worker.waker([this] { takeAnswers(); }))
{
}

CallerDuty::~CallerDuty()
{
    m_worker.stop();
}

core::Result<core::Done> CallerDuty::start()
{
    auto listening = m_server.listen(m_settings.callerAddress);
    if (core::errorIn(listening) == nullptr)
        m_worker.start();
    return listening;
}

void CallerDuty::announceDrain()
{
    setReady(false);
    boost::asio::post(m_worker.context(), [this] { m_server.disableKeepAlive(); });
}

void CallerDuty::drain()
{
    boost::asio::post(m_worker.context(), [this] { m_server.drain(); });
}

void CallerDuty::handle(std::uint64_t exchange, http::Request request, std::shared_ptr<http::Responder> responder)
{
    const std::string_view path = http::pathOf(request.target);
    if (path == readyPath || path == alivePath) {
        const bool isGood = path == alivePath || isReady();
        return responder->send(
            {isGood ? 200 : 503, {{"Content-Type", "text/plain"}}, isGood ? "ready\n" : "not ready\n"});
    }
    m_waiting.emplace(exchange, responder);
    m_pending.store(m_waiting.size());
    const std::string requestId = http::headerValue(request.headers, "X-Request-Id").value_or(std::string());
    if (m_forward(CallerRequest{exchange, std::move(request)}))
        return;
    m_waiting.erase(exchange);
    m_pending.store(m_waiting.size());
    const core::Error error{core::ErrorCode::Overloaded, "accept", {}, "too many requests wait in this daemon"};
    responder->send(errorResponse(error, FailureOutcome::NotRun, requestId));
}

void CallerDuty::callerDisconnected(std::uint64_t exchange)
{
    if (m_waiting.erase(exchange) == 0)
        return;
    m_pending.store(m_waiting.size());
    m_forward(CallerGone{exchange}); // If the ring is full the answer is dropped on arrival instead.
}

http::Response CallerDuty::rejection(int status, const std::string &detail, const std::string &peer)
{
    const core::Error error{core::ErrorCode::BadRequest, "read", peer, detail};
    http::Response response = errorResponse(error, FailureOutcome::NotRun, {});
    response.status = status;
    return response;
}

void CallerDuty::takeAnswers()
{
    m_answers.drain([this](CallerAnswer answer) {
        const auto found = m_waiting.find(answer.exchange);
        if (found == m_waiting.end())
            return;
        const auto responder = std::move(found->second);
        m_waiting.erase(found);
        m_pending.store(m_waiting.size());
        responder->send(std::move(answer.response));
    });
}

} // namespace sardinehinge::daemon
