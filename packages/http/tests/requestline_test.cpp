#include "../src/requestline.h"

#include <catch2/catch.hpp>

#include <set>
#include <sstream>

using namespace sardinehinge;
using http::internal::LineLimits;
using http::internal::RequestLine;

namespace {

constexpr LineLimits limits{4, 1000};

/// Plays a script on a line and records what happens. Steps, with N the number of a request:
/// `rN` reads one that may run beside others, `wN` one that may not, `cN` one that closes its connection, `x` bytes
/// that are no request; `aN` answers, `sN` answers with half of `limits.bytes`, `fN` answers so that the connection
/// closes; `d` written; `|` is only recorded; `off` from now on responses close; `left` the caller leaves. Records `+N`
/// for a start, `>N` for a response that is written, `>N!` if it closes the connection, `-N` for a started request that
/// is abandoned, `full` for a step of reading that isn't permitted, `end` when the connection closes.
class Play
{
public:
    std::string run(const std::string &script)
    {
        std::istringstream steps(script);
        for (std::string step; steps >> step;)
            take(step);
        return m_record;
    }

private:
    void take(const std::string &step)
    {
        if (step == "off")
            m_keepsAlive = false;
        else if (step == "left")
            abandon(m_line.callerLeft());
        else if (step == "d")
            note(m_line.written() ? "end" : "");
        else if (step == "|")
            note(step);
        else if (step == "x")
            m_line.addRejection({400, {}, "x"});
        else if (std::string("rwc").find(step.front()) != std::string::npos)
            return read(step);
        else
            answer(step);
        advance();
    }

    void read(const std::string &step)
    {
        if (!m_line.mayRead(limits, m_keepsAlive))
            return note("full");
        http::Request request;
        request.method = step.front() == 'w' ? "POST" : "GET";
        request.target = step.substr(1);
        m_line.add(std::stoul(step.substr(1)), request, {}, step.front() == 'c');
        advance();
    }

    void answer(const std::string &step)
    {
        std::string body = step.substr(1);
        if (step.front() == 's')
            body.append(limits.bytes / 2, ' ');
        m_line.answer(std::stoul(step.substr(1)), {200, {}, body}, step.front() == 'f');
    }

    void advance()
    {
        while (const http::Request *waiting = m_line.firstWaiting()) {
            const bool mayRunBeside = waiting->method == "GET";
            if (!m_line.mayStart(mayRunBeside, limits, m_keepsAlive))
                break;
            note("+" + std::to_string(m_line.start(mayRunBeside, {}).id));
        }
        if (const auto next = m_line.takeNext(m_keepsAlive)) {
            note(">" + next->response.body.substr(0, next->response.body.find(' ')) + (next->closes ? "!" : ""));
            abandon(next->abandoned);
        }
    }

    void abandon(const std::vector<http::internal::ExchangeId> &ids)
    {
        for (const auto id : ids)
            note("-" + std::to_string(id));
    }

    void note(const std::string &text)
    {
        if (!text.empty())
            m_record += (m_record.empty() ? "" : " ") + text;
    }

    RequestLine m_line;
    bool m_keepsAlive = true;
    std::string m_record;
};

} // namespace

TEST_CASE("A line starts requests as their kinds permit and returns responses in order")
{
    struct Case
    {
        const char *name;
        const char *script;
        const char *record;
    };
    const auto [name, script, record] = GENERATE(values<Case>({
        {"one after the other", "w1 a1 d w2 a2 d", "+1 >1 +2 >2"},
        {"answered in reverse", "r1 r2 r3 a3 a2 a1 d d d", "+1 +2 +3 >1 >2 >3"},
        {"one that may not run beside others waits until those before it are written", "r1 r2 w3 a1 a2 d d a3 d",
         "+1 +2 >1 >2 +3 >3"},
        {"nothing runs beside it", "w1 r2 r3 a1 d a3 a2 d d", "+1 >1 +2 +3 >2 >3"},
        {"nothing behind it is started either", "r1 w2 r3 a1 d a2 d a3 d", "+1 >1 +2 >2 +3 >3"},
        {"a full line isn't read further", "r1 r2 r3 r4 r5 a1 r5 d r5", "+1 +2 +3 +4 full >1 full +5"},
        {"responses that wait are bounded", "r1 r2 r3 s2 s3 r4 a1 d r4 d", "+1 +2 +3 full >1 >2 +4 >3"},
        {"large responses are expected of those in progress", "r1 s1 d r2 r3 r4 | a2 d a3 d", "+1 >1 +2 +3 | +4 >2 >3"},
        {"nothing is read behind one that closes", "r1 c2 r3 a2 a1 d d", "+1 +2 full >1 >2! end"},
        {"an error in mid-line keeps its place", "r1 r2 x r3 a2 a1 d d d", "+1 +2 full >1 >2 >x! end"},
        {"an error behind one that waits", "w1 w2 x a1 d a2 d d", "+1 >1 +2 >2 >x! end"},
        {"a drain answers all that was started", "r1 r2 r3 off r4 a3 a1 a2 d d d", "+1 +2 +3 full >1 >2 >3! end"},
        {"a drain starts nothing further", "r1 r2 w3 off a1 a2 d d", "+1 +2 >1 >2! end"},
        {"a drain while the only response is written", "w1 w2 a1 off d a2 d", "+1 >1 +2 >2! end"},
        {"a drain while a request waits for room", "r1 s1 d r2 r3 r4 off a2 d a3 d", "+1 >1 +2 +3 >2 >3! end"},
        {"a drain answers the first request", "off r1 a1 d", "+1 >1! end"},
        {"a response that closes abandons what was started behind it", "r1 r2 r3 f1 a2 d", "+1 +2 +3 >1! -2 -3 end"},
        {"a caller leaves with three in progress", "r1 r2 r3 left", "+1 +2 +3 -1 -2 -3"},
        {"a caller leaves behind a complete response", "r1 r2 r3 a1 left d", "+1 +2 +3 >1 -2 -3 end"},
        {"a caller leaves while two responses are complete", "r1 r2 r3 a1 a2 left d d", "+1 +2 +3 >1 -3 >2! end"},
        {"a caller leaves, and an error was behind", "w1 r2 x left", "+1 -1"},
        {"a second answer is ignored", "r1 r2 a2 a2 a1 a1 d d", "+1 +2 >1 >2"},
    }));
    INFO(name);
    CHECK(Play().run(script) == record);
}

TEST_CASE("What a line holds returns to nothing in every order of answers")
{
    RequestLine line;
    for (const std::uint64_t id : {1, 2, 3}) {
        line.add(id, {"GET", "/12345678", {}, "", {}}, core::Duration(id), false);
        line.start(true, core::Duration(std::chrono::milliseconds(30)));
    }
    CHECK(line.heldBytes() == 0); // The handler has the requests.
    line.answer(3, {200, {{"A", "bc"}}, "response"});
    CHECK(line.heldBytes() == 11);
    line.add(4, {"POST", "/x", {}, "body", {}}, {}, false);
    CHECK(line.heldBytes() == 17);
    CHECK(line.callerLeft() == std::vector<http::internal::ExchangeId>{1, 2});
    CHECK(line.heldBytes() == 0);
    CHECK(line.isEmpty());
}

TEST_CASE("A request says how long it waited behind others")
{
    RequestLine line;
    line.add(1, {"POST", "/x", {}, "", {}}, std::chrono::milliseconds(100), false);
    CHECK(line.start(false, std::chrono::milliseconds(350)).request.waited == std::chrono::milliseconds(250));
}
