#include <sardinehinge/core/gatewayrouter.h>

#include <algorithm>

/// The part of GatewayRouter that ends requests when the process stops.
namespace sardinehinge::core {

namespace {

/// Other instances serve these callers at once: enough for a new connection.
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(100);

} // namespace

void GatewayRouter::rejectStopping(Request &request)
{
    reject(request, GatewayError::Stopping, "this instance stops", retryAfter(request, stoppingRetryAfter));
}

GatewayRouter::Effects GatewayRouter::endRequests()
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : m_requests)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const RequestId id : ids) {
        Request &request = m_requests.at(id);
        dequeue(request);
        if (request.isSent) {
            m_effects.emplace_back(CancelSend{id, request.attempts, !request.route->isIdempotent});
            endUncertain(request, GatewayError::TimedOut,
                         request.target + " did not respond before this instance ends");
        } else if (request.mayHaveRun) {
            endUncertain(request, GatewayError::ResponseLost, "this instance ends before a retry");
        } else {
            rejectStopping(request);
        }
    }
    return takeEffects();
}

} // namespace sardinehinge::core
