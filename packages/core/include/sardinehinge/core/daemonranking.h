#pragma once

#include <sardinehinge/core/types.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardinehinge::core {

/// Says which daemons do the work that belongs to a name, such as counting a target's requests: the first ones by
/// rendezvous hashing, without those that didn't answer lately. All daemons come to the same answer once they know the
/// same others, and one that comes or goes changes the answer for few names. Does no I/O.
class DaemonRanking
{
public:
    static constexpr std::size_t candidates = 4; ///< By name; with all of them silent there is none.
    static constexpr Duration firstSilence = std::chrono::seconds(1); ///< Doubles up to longestSilence.
    static constexpr Duration longestSilence = std::chrono::seconds(30);

    explicit DaemonRanking(std::string self);

    const std::string &self() const noexcept { return m_self; }
    /// Number of known daemons, with this one.
    std::size_t size() const noexcept { return m_daemons.size(); }
    /// Returns whether the daemon wasn't known yet.
    bool add(const std::string &daemon);
    /// Records that a datagram of the daemon arrived.
    void heard(const std::string &daemon, Time now);
    /// Records that the daemon hasn't answered what it was sent since `since`. It is passed over for a while, unless
    /// another datagram of it arrived meanwhile. Returns whether it is.
    bool notAnswered(const std::string &daemon, Time since, Time now);
    /// Returns the first `count` daemons for the name that aren't silent, this one among them if it is one.
    std::vector<std::string> firstFor(std::string_view name, std::size_t count, Time now) const;

private:
    struct Contact
    {
        Time heardAt = 0ms;
        Time silentUntil = 0ms;
        Duration silence = 0ms; ///< Length of the latest one; 0: none since it was heard.
    };

    static constexpr std::size_t maxCachedNames = 4096;

    const std::vector<std::string> &candidatesFor(std::string_view name) const;

    std::string m_self;
    std::set<std::string> m_daemons;
    std::map<std::string, Contact> m_contacts;
    mutable std::map<std::string, std::vector<std::string>, std::less<>> m_cache; ///< Candidates by name.
};

} // namespace sardinehinge::core
