#include <sardinehinge/client/timeline.h>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <tuple>

namespace sardinehinge::client {

namespace {

constexpr int rowHeight = 28;
constexpr int leftMargin = 130;
constexpr int pictureWidth = 1400;
constexpr int topMargin = 40;
constexpr int markRadius = 5;

/// Colour of the hundred that an event's number lies in.
const char *colourOf(std::uint32_t event) noexcept
{
    static constexpr std::array colours = {"#888888", "#1f77b4", "#2ca02c", "#d62728", "#9467bd", "#ff7f0e"};
    return colours[std::min<std::size_t>(event / 100, colours.size() - 1)];
}

std::string escapeXml(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        default:
            escaped += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
    }
    return escaped;
}

} // namespace

std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>> &daemons)
{
    std::vector<TimelineEvent> events;
    for (const auto &each : daemons)
        events.insert(events.end(), each.begin(), each.end());
    std::stable_sort(events.begin(), events.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return std::tie(a.time, a.daemon) < std::tie(b.time, b.daemon);
    });
    return events;
}

std::string drawTimeline(const std::vector<TimelineEvent> &events)
{
    std::map<std::string, int> rows;
    for (const TimelineEvent &event : events)
        rows.emplace(event.daemon, 0);
    int row = 0;
    for (auto &[daemon, place] : rows)
        place = row++;
    const std::int64_t first = events.empty() ? 0 : events.front().time.wallMicroseconds;
    const std::int64_t last = events.empty() ? 1 : std::max(events.back().time.wallMicroseconds, first + 1);
    const int height = topMargin + rowHeight * (row + 1);
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << pictureWidth << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    svg << "<text x=\"8\" y=\"20\">" << events.size() << " events over " << (last - first) / 1000
        << " ms; point at a mark to read it</text>\n";
    for (const auto &[daemon, place] : rows) {
        const int y = topMargin + rowHeight * place + rowHeight / 2;
        svg << "<text x=\"8\" y=\"" << y + 4 << "\">" << escapeXml(daemon) << "</text>\n<line x1=\"" << leftMargin
            << "\" y1=\"" << y << "\" x2=\"" << pictureWidth - 20 << "\" y2=\"" << y << "\" stroke=\"#dddddd\"/>\n";
    }
    for (const TimelineEvent &event : events) {
        const auto offset
            = static_cast<double>(event.time.wallMicroseconds - first) / static_cast<double>(last - first);
        const double x = leftMargin + offset * (pictureWidth - leftMargin - 40);
        const int y = topMargin + rowHeight * rows[event.daemon] + rowHeight / 2;
        svg << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"" << markRadius << "\" fill=\""
            << colourOf(event.event) << "\" fill-opacity=\"0.7\"><title>E" << event.event << ' '
            << escapeXml(event.detail) << " at " << (event.time.wallMicroseconds - first) / 1000
            << " ms</title></circle>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace sardinehinge::client
