#include <sardinehinge/core/rangecontrol.h>

#include <algorithm>
#include <utility>

/// Which connections a controller's grants may use.
///
/// A target forgets the fences that it has seen when it restarts. A controller that has been replaced, but doesn't know
/// it yet, could then grant keys to the restarted process under a lower fence than the former process had. A connection
/// ends with its process. So if the controller is confirmed after a connection was opened, every fence of a later
/// controller that the process at its other end could have missed was sent to that same process, or to a later one.
namespace sardinehinge::core {

namespace {

/// A confirmation waits at most this long for connections that are being opened.
constexpr Duration openingTime = std::chrono::milliseconds(40);

} // namespace

bool RangeControl::prepareLink(const std::string &address)
{
    const TargetLink &link = m_links[address];
    if (!link.isOpen) {
        openLink(address);
        return false;
    }
    if (isConfirmedSince(link.openedAt))
        return true;
    m_isLinkUnconfirmed = true;
    return false;
}

void RangeControl::openLink(const std::string &address)
{
    TargetLink &link = m_links[address];
    if (link.isOpen || link.isOpening)
        return;
    link.isOpening = true;
    ++m_openingLinks;
    link.openingSince = m_now;
    m_effects.emplace_back(ConnectTarget{address});
}

void RangeControl::on(const TargetConnected &event)
{
    TargetLink &link = m_links[event.address];
    if (std::exchange(link.isOpening, false))
        --m_openingLinks;
    if (event.isOpen) {
        link.isOpen = true;
        link.openedAt = m_now;
    } else if (m_role == Role::Controller) {
        connectionFailed(event.address);
    }
}

/// Whether this daemon was the controller at or after `openedAt`. While the store is away, the voters tell it.
bool RangeControl::isConfirmedSince(Time openedAt) const
{
    if (m_storeConfirmedAt >= openedAt)
        return true;
    return m_now - openedAt > m_timing.linkVoterDelay && votersConfirmedAt(0) >= openedAt;
}

/// Connections that are just being opened are waited for, so that one confirmation serves all of them.
bool RangeControl::isLinkConfirmationDue() const
{
    return m_isLinkUnconfirmed && m_now - m_linkReadAt >= m_timing.linkConfirmationInterval
        && std::none_of(m_links.begin(), m_links.end(), [this](const auto &entry) {
               return entry.second.isOpening && m_now - entry.second.openingSince < openingTime;
           });
}

} // namespace sardinehinge::core
