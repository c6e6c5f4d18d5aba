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
constexpr int markerRadius = 5;

/// Returns the colour of the event group; a group covers 100 event numbers, the last one all from 500.
const char *eventColour(std::uint32_t eventNumber) noexcept
{
    static constexpr std::array colours = {"#888888", "#1f77b4", "#2ca02c", "#d62728", "#9467bd", "#ff7f0e"};
    return colours[std::min<std::size_t>(eventNumber / 100, colours.size() - 1)];
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

std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>> &timelines)
{
    std::vector<TimelineEvent> events;
    for (const auto &timeline : timelines)
        events.insert(events.end(), timeline.begin(), timeline.end());
    std::stable_sort(events.begin(), events.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return std::tie(a.time, a.daemon) < std::tie(b.time, b.daemon);
    });
    return events;
}

std::string drawTimeline(const std::vector<TimelineEvent> &events)
{
    std::map<std::string, int> rowsByDaemon;
    for (const TimelineEvent &event : events)
        rowsByDaemon.emplace(event.daemon, 0);
    int rowCount = 0;
    for (auto &[daemon, row] : rowsByDaemon)
        row = rowCount++;
    const std::int64_t firstTime = events.empty() ? 0 : events.front().time.wallMicroseconds;
    const std::int64_t lastTime = events.empty() ? 1 : std::max(events.back().time.wallMicroseconds, firstTime + 1);
    const int height = topMargin + rowHeight * (rowCount + 1);
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << pictureWidth << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    svg << "<text x=\"8\" y=\"20\">" << events.size() << " events over " << (lastTime - firstTime) / 1000
        << " ms; point at a mark to read it</text>\n";
    for (const auto &[daemon, row] : rowsByDaemon) {
        const int y = topMargin + rowHeight * row + rowHeight / 2;
        svg << "<text x=\"8\" y=\"" << y + 4 << "\">" << escapeXml(daemon) << "</text>\n<line x1=\"" << leftMargin
            << "\" y1=\"" << y << "\" x2=\"" << pictureWidth - 20 << "\" y2=\"" << y << "\" stroke=\"#dddddd\"/>\n";
    }
    for (const TimelineEvent &event : events) {
        const auto fraction
            = static_cast<double>(event.time.wallMicroseconds - firstTime) / static_cast<double>(lastTime - firstTime);
        const double x = leftMargin + fraction * (pictureWidth - leftMargin - 40);
        const int y = topMargin + rowHeight * rowsByDaemon[event.daemon] + rowHeight / 2;
        svg << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"" << markerRadius << "\" fill=\""
            << eventColour(event.number) << "\" fill-opacity=\"0.7\"><title>E" << event.number << ' '
            << escapeXml(event.detail) << " at " << (event.time.wallMicroseconds - firstTime) / 1000
            << " ms</title></circle>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace sardinehinge::client
