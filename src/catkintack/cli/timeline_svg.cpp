#include "catkintack/cli/timeline_svg.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <sstream>
#include <utility>

#include "catkintack/base/breach.hpp"

namespace catkintack::cli {
namespace {

constexpr int time_width = 110;  // All lengths are in pixels.
constexpr int lane_width = 260;
constexpr int header_height = 40;
constexpr int row_height = 26;
constexpr int label_offset = 8;
constexpr int baseline_offset = 4;
constexpr double microseconds_per_millisecond = 1000.0;

std::string escape(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += static_cast<unsigned char>(letter) < ' ' ? '?' : letter;
    }
  }
  return escaped;
}

std::string field_of(const base::event_record& record, const std::string& name) {
  for (const base::event_field& field : record.fields) {
    if (field.name == name) {
      return field.value;
    }
  }
  return "";
}

std::string milliseconds_text(std::uint64_t microseconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f ms",
                static_cast<double>(microseconds) / microseconds_per_millisecond);
  return text.data();
}

/// Lanes of the diagram: hosts, then upstreams, each in the order of first appearance.
class lane_table {
 public:
  explicit lane_table(const std::vector<base::event_record>& events) {
    for (const base::event_record& record : events) {
      add(record.host.value());
    }
    for (const base::event_record& record : events) {
      add(field_of(record, "upstream"));
    }
  }

  const std::vector<std::string>& names() const { return names_; }

  int center(const std::string& name) const {
    const auto found = std::find(names_.begin(), names_.end(), name);
    return time_width + lane_width * static_cast<int>(found - names_.begin()) + lane_width / 4;
  }

 private:
  void add(const std::string& name) {
    if (!name.empty() && std::find(names_.begin(), names_.end(), name) == names_.end()) {
      names_.push_back(name);
    }
  }

  std::vector<std::string> names_;
};

class diagram {
 public:
  explicit diagram(const std::vector<base::event_record>& events)
      : events_(events), lanes_(events) {}

  std::string draw() {
    open();
    for (const std::string& name : lanes_.names()) {
      draw_lane(name);
    }
    for (std::size_t row = 0; row < events_.size(); ++row) {
      draw_event(events_[row], header_height + row_height * (static_cast<int>(row) + 1));
    }
    out_ << "</svg>\n";
    return out_.str();
  }

 private:
  int height() const { return header_height + row_height * (static_cast<int>(events_.size()) + 1); }

  void open() {
    const int width = time_width + lane_width * static_cast<int>(lanes_.names().size());
    out_ << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << width << R"(" height=")"
         << height() << R"(" font-family="monospace" font-size="11">)"
         << "\n"
         << R"(<defs><marker id="tip" markerWidth="8" markerHeight="8" refX="8" refY="4" )"
         << R"(orient="auto"><path d="M0,0 L8,4 L0,8 z"/></marker></defs>)"
         << "\n"
         << R"(<rect width="100%" height="100%" fill="white"/>)"
         << "\n";
  }

  void draw_lane(const std::string& name) {
    const int x = lanes_.center(name);
    out_ << R"(<text x=")" << x << R"(" y=")" << header_height / 2
         << R"(" text-anchor="middle" font-weight="bold">)" << escape(name) << "</text>\n"
         << R"(<line x1=")" << x << R"(" y1=")" << header_height << R"(" x2=")" << x << R"(" y2=")"
         << height() << R"(" stroke="silver"/>)"
         << "\n";
  }

  void draw_event(const base::event_record& record, int y) {
    const int x = lanes_.center(record.host.value());
    const char* const color = base::is_breach(record.kind) ? "red" : "black";
    out_ << R"(<text x="4" y=")" << y + baseline_offset << R"(" fill="gray">)"
         << milliseconds_text(record.time - events_.front().time) << "</text>\n";
    draw_arrow(record, x, y);
    out_ << R"(<circle cx=")" << x << R"(" cy=")" << y << R"(" r="4" fill=")" << color << R"("/>)"
         << "\n"
         << R"(<text x=")" << x + label_offset << R"(" y=")" << y - baseline_offset << R"(" fill=")"
         << color << R"(">)" << escape(label(record)) << "</text>\n";
  }

  /// Draws an arrow to the upstream when an attempt is sent, and back when it ends.
  void draw_arrow(const base::event_record& record, int x, int y) {
    const std::pair attempt{record.request.value(), field_of(record, "attempt")};
    const std::string upstream = field_of(record, "upstream");
    if (record.kind == "attempt_sent" && !upstream.empty()) {
      attempts_[attempt] = upstream;
      draw_line(x, lanes_.center(upstream), y);
      return;
    }
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
      draw_line(lanes_.center(found->second), x, y);
    }
  }

  void draw_line(int from, int to, int y) {
    out_ << R"(<line x1=")" << from << R"(" y1=")" << y << R"(" x2=")" << to << R"(" y2=")" << y
         << R"x(" stroke="black" marker-end="url(#tip)"/>)x"
         << "\n";
  }

  static std::string label(const base::event_record& record) {
    std::string text = record.kind;
    for (const base::event_field& field : record.fields) {
      text += " " + field.name + "=" + field.value;
    }
    return text;
  }

  const std::vector<base::event_record>& events_;
  lane_table lanes_;
  std::map<std::pair<std::string, std::string>, std::string> attempts_;
  std::ostringstream out_;
};

}  // namespace

std::string timeline_svg(const std::vector<base::event_record>& events) {
  return diagram(events).draw();
}

}  // namespace catkintack::cli
