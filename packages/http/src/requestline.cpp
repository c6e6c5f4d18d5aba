#include "requestline.h"

#include <algorithm>

namespace sardinehinge::http::internal {

namespace {

std::size_t bytesOf(const Headers &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size();
    return bytes;
}

} // namespace

void RequestLine::add(ExchangeId id, Request request, core::Time now, bool closes)
{
    Entry &entry = m_entries.emplace_back();
    entry.id = id;
    entry.closes = closes;
    entry.arrived = now;
    entry.request = std::move(request);
    hold(entry, entry.request.target.size() + entry.request.body.size() + bytesOf(entry.request.headers));
}

void RequestLine::addRejection(Response response)
{
    Entry &entry = m_entries.emplace_back();
    entry.state = State::Answered;
    entry.closes = true;
    entry.response = std::move(response);
    hold(entry, entry.response.body.size() + bytesOf(entry.response.headers));
}

bool RequestLine::mayRead(const LineLimits &limits, bool keepsAlive) const
{
    if (m_entries.empty())
        return true;
    return keepsAlive && m_entries.size() < limits.depth && m_heldBytes < limits.bytes
        && std::none_of(m_entries.begin(), m_entries.end(), [](const Entry &entry) { return entry.closes; });
}

std::size_t RequestLine::waitingIndex() const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [](const Entry &entry) { return entry.state == State::Waiting; });
    return static_cast<std::size_t>(found - m_entries.begin());
}

const Request *RequestLine::firstWaiting() const
{
    const std::size_t index = waitingIndex();
    return index < m_entries.size() ? &m_entries[index].request : nullptr;
}

bool RequestLine::mayStart(bool mayRunBeside, const LineLimits &limits, bool keepsAlive) const
{
    const std::size_t index = waitingIndex();
    if (index == m_entries.size())
        return false;
    if (index == 0)
        return true;
    const auto end = m_entries.begin() + static_cast<std::ptrdiff_t>(index);
    const auto inProgress = static_cast<std::size_t>(
        std::count_if(m_entries.begin(), end, [](const Entry &entry) { return entry.state == State::Started; }));
    return mayRunBeside && keepsAlive && m_heldBytes + inProgress * m_largestResponse < limits.bytes
        && std::all_of(m_entries.begin(), end, [](const Entry &entry) { return entry.mayRunBeside && !entry.closes; });
}

RequestLine::Started RequestLine::start(bool mayRunBeside, core::Time now)
{
    Entry &entry = m_entries.at(waitingIndex());
    entry.state = State::Started;
    entry.mayRunBeside = mayRunBeside;
    hold(entry, 0);
    entry.request.waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.arrived);
    return {entry.id, std::move(entry.request)};
}

bool RequestLine::answer(ExchangeId id, Response response, bool closes, std::optional<std::size_t> truncateAt)
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [id](const Entry &entry) {
        return entry.id == id && entry.state == State::Started;
    });
    if (found == m_entries.end())
        return false;
    found->state = State::Answered;
    found->closes = found->closes || closes;
    found->response = std::move(response);
    found->truncateAt = truncateAt;
    hold(*found, found->response.body.size() + bytesOf(found->response.headers));
    m_largestResponse = std::max(m_largestResponse, found->bytes);
    return true;
}

std::optional<RequestLine::Next> RequestLine::takeNext(bool keepsAlive)
{
    if (m_entries.empty() || m_entries.front().state != State::Answered)
        return std::nullopt;
    std::vector<ExchangeId> abandoned;
    if (m_entries.front().closes)
        abandoned = truncate(1);
    else if (!keepsAlive)
        truncate(waitingIndex()); // Nothing is started behind a request that waits.
    Entry &first = m_entries.front();
    first.state = State::Writing;
    hold(first, 0);
    first.closes = first.closes || (!keepsAlive && m_entries.size() == 1);
    return Next{std::move(first.response), first.truncateAt, first.closes, std::move(abandoned)};
}

bool RequestLine::written()
{
    const bool closes = m_entries.front().closes;
    m_entries.pop_front();
    return closes;
}

std::vector<ExchangeId> RequestLine::callerLeft()
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [](const Entry &entry) {
        return entry.state == State::Waiting || entry.state == State::Started;
    });
    auto abandoned = truncate(static_cast<std::size_t>(found - m_entries.begin()));
    if (!m_entries.empty())
        m_entries.back().closes = true;
    return abandoned;
}

std::vector<ExchangeId> RequestLine::clear()
{
    return truncate(0);
}

/// Sets what is held for `entry`.
void RequestLine::hold(Entry &entry, std::size_t bytes)
{
    m_heldBytes += bytes - entry.bytes;
    entry.bytes = bytes;
}

std::vector<ExchangeId> RequestLine::truncate(std::size_t size)
{
    std::vector<ExchangeId> started;
    for (std::size_t index = size; index < m_entries.size(); ++index) {
        if (m_entries[index].state == State::Started)
            started.push_back(m_entries[index].id);
        hold(m_entries[index], 0);
    }
    m_entries.resize(std::min(size, m_entries.size()));
    return started;
}

} // namespace sardinehinge::http::internal
